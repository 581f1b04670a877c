package pastand

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"papayahead/pabundle"
)

// Place is where an end of a connection stands.
type Place struct {
	Zone   pabundle.ZoneName
	Region pabundle.RegionName
}

// WireRoute is an address that the Wire listens on in place of the real one behind it.
type WireRoute struct {
	Listen, To netip.AddrPort
	Place      Place
}

// WireConfig is what a Wire carries, as the JSON of its file says it.
type WireConfig struct {
	Routes []WireRoute
	// Sources are the places of those who dial, by their IP addresses; all others are callers.
	Sources map[netip.Addr]Place
	// ZoneDelay, RegionDelay and CallerDelay are one-way delays between zones of a region, between
	// regions, and to callers.
	ZoneDelay, RegionDelay, CallerDelay pabundle.Duration
}

// callersPlace is the place of everyone who is not among the sources.
var callersPlace = Place{Zone: "callers"}

// Wire is a stand-in for the network between machines: it relays connections with a delay, counts
// what crosses regions, and can cut directions between zones and silence connections for good.
type Wire struct {
	Config WireConfig
	Clock  clockwork.Clock

	mutex sync.Mutex
	cuts  map[cut]bool
	// changed is closed and replaced when a cut begins or ends.
	changed chan struct{}
	calls   map[*call]bool
	meters  map[lane]*meter
	// listeners are those of the routes to hosts that are up.
	listeners map[netip.AddrPort]net.Listener
	life      context.Context
	tasks     sync.WaitGroup
}

// cut is a direction between two zones.
type cut struct{ From, To pabundle.ZoneName }

// lane is a direction between two regions.
type lane struct{ from, to pabundle.RegionName }

// call is one relayed connection.
type call struct {
	from, to    Place
	near, far   net.Conn
	silent      chan struct{}
	silenceOnce sync.Once
}

// Serve listens on all routes and relays until the context ends.
func (w *Wire) Serve(ctx context.Context) error {
	defer w.tasks.Wait()
	for _, r := range w.Config.Routes {
		if err := w.open(ctx, r); err != nil {
			return trace.Wrap(err)
		}
	}
	<-ctx.Done()
	return nil
}

// open listens on a route.
func (w *Wire) open(ctx context.Context, r WireRoute) error {
	var listen net.ListenConfig
	l, err := listen.Listen(ctx, "tcp", r.Listen.String())
	if err != nil {
		return trace.Wrap(err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.listeners == nil {
		w.listeners = map[netip.AddrPort]net.Listener{}
	}
	w.life = ctx
	w.listeners[r.Listen] = l
	context.AfterFunc(ctx, func() { l.Close() })
	w.tasks.Go(func() { w.accept(ctx, l, r) })
	return nil
}

func (w *Wire) accept(ctx context.Context, l net.Listener, r WireRoute) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.relay(ctx, c, r)
	}
}

// relay carries one connection. While its direction is cut, not even the other end hears of it.
func (w *Wire) relay(ctx context.Context, near net.Conn, r WireRoute) {
	defer near.Close()
	c := &call{from: w.placeOf(near), to: r.Place, near: near, silent: make(chan struct{})}
	if !w.await(ctx, c, c.from.Zone, c.to.Zone) {
		return
	}
	// The receiver tells who asks by the address, as it would without the Wire between.
	d := net.Dialer{LocalAddr: sourceOf(near)}
	far, err := d.DialContext(ctx, "tcp", r.To.String())
	if err != nil {
		return
	}
	defer far.Close()
	c.far = far
	w.add(c)
	defer w.remove(c)
	stop := context.AfterFunc(ctx, func() { near.Close(); far.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go func() { w.carry(ctx, c, near, far, c.from, c.to); done <- struct{}{} }()
	go func() { w.carry(ctx, c, far, near, c.to, c.from); done <- struct{}{} }()
	<-done
	<-done
}

// parcel is a piece of a stream under way.
type parcel struct {
	data []byte
	due  time.Time
}

// parcelsUnderWay bounds what is in flight on one direction of a connection.
const parcelsUnderWay = 256

// parcelSize is the most that is relayed at once.
const parcelSize = 16 << 10

// carry copies one direction.
func (w *Wire) carry(ctx context.Context, c *call, from, to net.Conn, src, dst Place) {
	delay := w.delay(src, dst)
	way := make(chan parcel, parcelsUnderWay)
	go func() {
		defer close(way)
		for {
			b := make([]byte, parcelSize)
			n, err := from.Read(b)
			if n > 0 {
				way <- parcel{b[:n], w.Clock.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	w.deliver(ctx, c, way, to, src, dst)
	for range way {
	}
}

func (w *Wire) deliver(ctx context.Context, c *call, way chan parcel, to net.Conn, src, dst Place) {
	defer closeWrite(to)
	for p := range way {
		if wait := p.due.Sub(w.Clock.Now()); wait > 0 {
			select {
			case <-w.Clock.After(wait):
			case <-ctx.Done():
				return
			}
		}
		if !w.await(ctx, c, src.Zone, dst.Zone) {
			return
		}
		w.count(src, dst, len(p.data))
		if _, err := to.Write(p.data); err != nil {
			return
		}
	}
	// The end of the stream is news as well: it does not cross a cut or a silent connection.
	w.await(ctx, c, src.Zone, dst.Zone)
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// await waits while the direction is cut or the connection silent; false says that it is over.
func (w *Wire) await(ctx context.Context, c *call, from, to pabundle.ZoneName) bool {
	for {
		w.mutex.Lock()
		if w.changed == nil {
			w.changed = make(chan struct{})
		}
		open, changed := !w.cuts[cut{from, to}], w.changed
		w.mutex.Unlock()
		select {
		case <-c.silent:
			<-ctx.Done()
			return false
		default:
		}
		if open {
			return true
		}
		select {
		case <-changed:
		case <-c.silent:
		case <-ctx.Done():
			return false
		}
	}
}

func (w *Wire) placeOf(c net.Conn) Place {
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return callersPlace
	}
	if p, ok := w.Config.Sources[a.Addr().Unmap()]; ok {
		return p
	}
	return callersPlace
}

// sourceOf returns the address of who dialled, for a connection on their behalf.
func sourceOf(c net.Conn) net.Addr {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	return &net.TCPAddr{IP: a.IP}
}

func (w *Wire) delay(a, b Place) time.Duration {
	switch {
	case a == callersPlace || b == callersPlace:
		return w.Config.CallerDelay.Duration
	case a.Region != b.Region:
		return w.Config.RegionDelay.Duration
	case a.Zone != b.Zone:
		return w.Config.ZoneDelay.Duration
	default:
		return 0
	}
}

func (w *Wire) add(c *call) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.calls == nil {
		w.calls = map[*call]bool{}
	}
	w.calls[c] = true
}

func (w *Wire) remove(c *call) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.calls, c)
}
