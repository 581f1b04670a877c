package pagate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"papayahead/paclock"
	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/palane"
	"papayahead/pasteer"
	"papayahead/pawire"
)

// Gate is the daemon of an entry VM.
type Gate struct {
	config Config
	self   pafleet.Entry
	state  atomic.Pointer[state]
	events chan event
	peers  *peers
	// limits are the own shares of rate limits, limiter the pools where this entry VM keeps them.
	limits  *limits
	limiter *limiter
	pool    *pool
	meter   *meter
	noted   noted
	// fleet is how many entry VMs were registered; only the control loop uses it.
	fleet fleetMost
	// ends bounds the lines on requests that were refused or failed.
	ends budget
	// startedAt is when the process began, and firstConfig is closed when a configuration came into force.
	startedAt   time.Time
	startedUp   time.Duration
	firstConfig chan struct{}
	// dropped counts log lines that were dropped; nil where nobody counts.
	dropped *atomic.Uint64

	// steering guards steer, which all requests share.
	steering sync.Mutex
	steer    *pasteer.Balancer

	// ending ends shortly before the process is killed; requests that still run then get an answer.
	ending context.Context
	end    context.CancelFunc

	callers   *palane.Listener
	leaving   atomic.Bool
	leftAt    atomic.Int64
	inFlight  atomic.Int64
	announced chan struct{}
	traffic   traffic
	work      sync.WaitGroup
}

// New returns a Gate that is not running yet.
func New(c Config) *Gate {
	s := c.Settings
	g := &Gate{
		config: c,
		self: pafleet.Entry{
			Name: s.Name, Zone: s.Zone, Region: s.Region, Front: s.Front, Peers: s.Peers, Born: c.Clock.Now().UnixMilli(),
			LinkMbps: s.LinkMbps,
		},
		events:    make(chan event, maxEvents),
		noted:     noted{follows: budget{rate: followLines, burst: followBurst}},
		ends:      budget{rate: endLines, burst: endBurst},
		startedAt: c.Clock.Now(), firstConfig: make(chan struct{}),
		announced: make(chan struct{}, 1),
		steer: pasteer.New(pasteer.Config{
			Name: s.Name, Zone: s.Zone, Region: s.Region, Regions: s.Regions,
			RetryRatio: s.RetryRatio, RetryWindow: s.RetryWindow, RetryFloor: s.RetryFloor, MaxShift: s.MaxShift, Off: c.Off,
		}),
	}
	g.ending, g.end = context.WithCancel(context.Background())
	g.startedUp = g.uptime()
	g.self.BornUp = g.startedUp.Milliseconds()
	g.state.Store(&state{knownAt: longAgo})
	g.meter = newMeter(g)
	g.pool = &pool{dial: c.Network.Dial, clock: c.Clock, idle: map[netip.AddrPort][]*conn{}}
	g.peers = newPeers(g)
	g.limiter = newLimiter(g)
	g.limits = newLimits(g)
	g.countTraffic()
	return g
}

// maxEvents bounds the events that wait for the control loop. Load: answers of a few dozen
// neighbours and the store at once; each takes microseconds.
const maxEvents = 256

const (
	// maxHeader bounds the memory that a request's header takes; the configuration's own limit, which may
	// change, is checked for each request.
	maxHeader = 256 << 10
	// headerTimeout and idleTimeout bound slow and silent callers where no configuration is known yet, and those
	// who ask for look-ups or readiness.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Run serves until soft ends, then shuts down gracefully; hard ends it at once.
func (g *Gate) Run(soft, hard context.Context) error {
	ctx, cancel := context.WithCancel(hard)
	defer cancel()
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	s := g.config.Settings
	g.record(paevent.Started{Role: "gate", Version: g.config.Version, Zone: s.Zone, Callers: s.Front.String(), Peers: s.Peers.String()})
	g.spawn(func() { g.follow(ctx) })
	g.spawn(func() { g.announce(ctx) })
	g.spawn(func() { g.keepWarm(ctx) })
	g.spawn(func() { g.peers.run(ctx) })
	g.spawn(func() { g.limits.run(ctx) })
	g.spawn(func() { g.limiter.run(ctx) })
	g.spawn(func() { g.logTraffic(ctx) })
	g.spawn(func() { g.servePeers(ctx, listeners[3]) })
	g.callers = palane.NewListener(palane.Config{
		Base: listeners[0], Clock: g.config.Clock, MaxHeaderBytes: maxHeader, HeaderTimeout: func() time.Duration { return g.callerLimits().HeaderTimeout },
	})
	front := &http.Server{
		Handler: http.HandlerFunc(g.serveCaller), MaxHeaderBytes: maxHeader, ConnState: g.callers.TrackState, ConnContext: palane.WithLane,
	}
	g.spawn(func() { g.loop(ctx) })
	g.spawn(func() { g.closed(g.callers.Run()) })
	others := []*http.Server{g.server(http.HandlerFunc(g.serveReady)), g.server(http.HandlerFunc(g.serveLookUp))}
	g.spawn(func() { g.closed(front.Serve(g.callers)) })
	g.spawn(func() { g.closed(others[0].Serve(listeners[1])) })
	g.spawn(func() { g.closed(others[1].Serve(listeners[2])) })
	select {
	case <-soft.Done():
		g.shutDown(hard, listeners[0])
	case <-hard.Done():
	}
	g.end()
	front.Close()
	g.callers.CloseConnections()
	for _, o := range others {
		o.Close()
	}
	cancel()
	g.work.Wait()
	return nil
}

// listen opens the ports for callers, ready checks, look-ups and peers, in this order.
func (g *Gate) listen() ([]net.Listener, error) {
	s := g.config.Settings
	var all []net.Listener
	for _, a := range []netip.AddrPort{s.Front, s.Ready, s.Directory, s.Peers} {
		l, err := g.config.Network.Listen(a)
		if err != nil {
			return nil, trace.Wrap(err, "listen on %s", a)
		}
		all = append(all, l)
	}
	return all, nil
}

func (g *Gate) server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

func (g *Gate) closed(err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		g.record(paevent.ListenerFailed{Reason: err.Error()})
	}
}

func (g *Gate) servePeers(ctx context.Context, l net.Listener) {
	mux := drpcmux.New()
	err := trace.NewAggregate(pawire.DRPCRegisterSyncing(mux, g.peers), pawire.DRPCRegisterLimiting(mux, g.limiter))
	if err != nil {
		g.record(paevent.ListenerFailed{Reason: err.Error()})
		return
	}
	if err := drpcserver.New(mux).Serve(ctx, l); err != nil && ctx.Err() == nil {
		g.record(paevent.ListenerFailed{Reason: err.Error()})
	}
}

func (g *Gate) spawn(f func()) {
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		f()
	}()
}

func (g *Gate) record(e paevent.Event) {
	if g.config.Recorder != nil {
		g.config.Recorder.Record(e)
	}
}

// sleep waits and says whether the context still lasts.
func (g *Gate) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-g.config.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// withTimeout is context.WithTimeout on the Gate's clock.
func (g *Gate) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return paclock.WithTimeout(ctx, g.config.Clock, d)
}

// random returns a random number from 0 to 1.
func (g *Gate) random() float64 {
	g.steering.Lock()
	defer g.steering.Unlock()
	return g.config.Random.Float64()
}

// Reload takes new settings. The bounds of retries change at once; places and addresses are those of
// the process's start.
func (g *Gate) Reload(s Settings) {
	g.steering.Lock()
	defer g.steering.Unlock()
	c := &g.steer.Config
	c.RetryRatio, c.RetryWindow, c.RetryFloor, c.MaxShift = s.RetryRatio, s.RetryWindow, s.RetryFloor, s.MaxShift
}
