package paentry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"papayahead/pabundle"
	"papayahead/paclock"
	"papayahead/pacontrol"
	"papayahead/paevent"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paproxy"
	"papayahead/paroll"
	"papayahead/paroom"
)

// Daemon is one entry VM's process.
type Daemon struct {
	config   Config
	control  *pacontrol.Control
	snapshot atomic.Pointer[pacontrol.Snapshot]
	steps    chan step
	// done ends when the control goroutine has, draining when the graceful shutdown begins.
	done, draining chan struct{}

	front   *paproxy.Proxy
	targets *paproxy.TargetClient
	peers   *peers
	links   *links
	heads   *paroll.HeadWatch
	metrics *metrics

	ids      atomic.Uint64
	flights  sync.Map // exchange to *flight
	inFlight atomic.Int64
	waiting  map[paowner.RequestID]*flight

	listeners  listeners
	tasks      sync.WaitGroup
	tasksMutex sync.Mutex
	tasksEnded bool
}

// listeners are the open ports.
type listeners struct{ callers, peers, operators net.Listener }

// New returns a Daemon that has opened no port yet.
func New(c Config) (*Daemon, error) {
	s := c.Settings
	k, err := pacontrol.New(pacontrol.Config{
		Self: pamember.Identity{
			Name: s.Name, Zone: s.Zone, Region: s.Region, Incarnation: c.Incarnation,
			CallerAddress: s.CallersAddress, PeerAddress: s.PeersAddress,
		},
		Deployment: s.Deployment,
		Random:     c.Random,
		Started:    c.Clock.Now(),
		Room:       paroom.Limits{Connections: s.MaxConnections, Requests: s.MaxRequests, Bytes: s.MaxBytes},
		TimeToLive: s.TimeToLive,
		ListLag:    s.ListLag,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{
		config:   c,
		control:  k,
		steps:    make(chan step, stepBuffer),
		done:     make(chan struct{}),
		draining: make(chan struct{}),
		waiting:  map[paowner.RequestID]*flight{},
		metrics:  newMetrics(),
	}
	d.snapshot.Store(&pacontrol.Snapshot{})
	d.peers = newPeers(d)
	d.links = newLinks(c.Clock, s.Region)
	d.heads = &paroll.HeadWatch{
		Deployment: s.Deployment, Store: c.Store, Clock: c.Clock, Events: c.Recorder,
		Random: rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64())),
		OnHead:  func(h pabundle.Head) { d.post(pacontrol.HeadFound{Head: h}) },
	}
	d.targets = &paproxy.TargetClient{Dial: c.Network.Dial, Clock: c.Clock, Events: c.Recorder, Stamps: &c.Recorder.Stamps}
	d.front = d.newFront()
	return d, nil
}

// Run opens the ports and serves until the context ends; then it shuts down gracefully and returns.
// A second end, of hard, gives up what still runs.
func (d *Daemon) Run(ctx, hard context.Context) error {
	if err := d.open(ctx); err != nil {
		return trace.Wrap(err)
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	d.serve(life)
	s := d.config.Settings
	d.record(paevent.Started{
		Role: "entry", Version: d.config.Version, Zone: string(s.Zone),
		Callers: s.CallersAddress.String(), Peers: s.PeersAddress.String(),
	})
	<-ctx.Done()
	d.drain(hard)
	end()
	d.listeners.close()
	d.endTasks()
	d.targets.Close()
	// What is idle closes with the process in any case.
	_ = d.front.Peers.Close()
	return nil
}

func (d *Daemon) open(ctx context.Context) error {
	s := d.config.Settings
	for _, l := range []struct {
		address netip.AddrPort
		to      *net.Listener
	}{{s.Callers, &d.listeners.callers}, {s.Peers, &d.listeners.peers}, {s.Operators, &d.listeners.operators}} {
		opened, err := d.config.Network.Listen(ctx, l.address)
		if err != nil {
			d.listeners.close()
			return trace.Wrap(err, "listening on %s", l.address)
		}
		*l.to = opened
	}
	return nil
}

func (l *listeners) close() {
	for _, x := range []net.Listener{l.callers, l.peers, l.operators} {
		if x != nil {
			x.Close()
		}
	}
}

// serve starts the goroutines; all end with the context.
func (d *Daemon) serve(ctx context.Context) {
	go d.runControl(ctx)
	d.spawn(func() { d.listMachines(ctx) })
	d.spawn(func() { d.heads.Run(ctx) })
	d.spawn(func() { d.servePeers(ctx) })
	d.spawn(func() { d.measure(ctx) })
	d.spawn(func() { d.serveHTTP(ctx, d.listeners.callers, d.callersHandler()) })
	d.spawn(func() { d.serveHTTP(ctx, d.listeners.operators, d.operatorsHandler()) })
}

// endTasks waits for all tasks and lets none begin.
func (d *Daemon) endTasks() {
	d.tasksMutex.Lock()
	d.tasksEnded = true
	d.tasksMutex.Unlock()
	d.tasks.Wait()
}

// spawn runs a task that Run waits for. After Run began to wait for the last of them it runs none: the
// control goroutine, which is no task, may still want to send, and a task that joins while the others
// are waited for corrupts the wait.
func (d *Daemon) spawn(f func()) {
	d.tasksMutex.Lock()
	defer d.tasksMutex.Unlock()
	if d.tasksEnded {
		return
	}
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		f()
	}()
}

// serveHTTP serves until the context ends, and then until what is under way has been written: the
// last piece of an answer may still stand in net/http when its request is over.
func (d *Daemon) serveHTTP(ctx context.Context, l net.Listener, h http.Handler) {
	server := paproxy.Limits{}.Server(d.closing(h))
	flushed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(flushed)
		limit, cancel := paclock.WithTimeout(context.WithoutCancel(ctx), d.config.Clock, flushLimit)
		defer cancel()
		if server.Shutdown(limit) != nil {
			server.Close()
		}
	})
	// Serve returns only because the server or its listener was closed, which ends the daemon.
	_ = server.Serve(paproxy.NewFramingListener(l))
	if !stop() {
		<-flushed
	}
}

// flushLimit bounds the writing of what net/http still holds after the last request has ended.
const flushLimit = 2 * time.Second

// closing ends each connection with its next answer once the graceful shutdown has begun. The connections without a
// request stay open until then: a caller's next one may be on its way.
func (d *Daemon) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-d.draining:
			w.Header().Set("Connection", "close")
		default:
		}
		h.ServeHTTP(w, r)
	})
}

// drain is the graceful shutdown. Peers and look-ups are told first, so that no new caller is sent
// here; then the daemon serves on until cached answers have expired and the last request has ended.
func (d *Daemon) drain(hard context.Context) {
	start := d.config.Clock.Now()
	d.record(paevent.Stopping{Reason: "asked to stop", InFlight: int(d.inFlight.Load())})
	d.post(pacontrol.StopAsked{})
	close(d.draining)
	wait := d.config.Clock.NewTimer(d.config.Settings.TimeToLive + drainMargin)
	defer wait.Stop()
	select {
	case <-wait.Chan():
		d.awaitIdle(hard, start.Add(d.config.Settings.DrainLimit))
	case <-hard.Done():
	}
	d.stepAndWait(pacontrol.Departed{})
	d.record(paevent.Stopped{
		CutOff:            int(d.inFlight.Load()),
		DrainMilliseconds: d.config.Clock.Since(start).Milliseconds(),
	})
}

const (
	// drainMargin is the time that the news of a leaving entry VM takes to reach whoever answers
	// look-ups, and a caller's request to arrive. Harm of less: a caller that looked up just before
	// is cut off.
	drainMargin = 2 * time.Second
	// idlePoll is how often a draining daemon looks whether it is idle.
	idlePoll = 50 * time.Millisecond
)

// awaitIdle waits for the last request, the hard stop or the limit.
func (d *Daemon) awaitIdle(hard context.Context, limit time.Time) {
	for d.inFlight.Load() > 0 && d.config.Clock.Now().Before(limit) {
		select {
		case <-d.config.Clock.After(idlePoll):
		case <-hard.Done():
			return
		}
	}
}

func (d *Daemon) record(e paevent.Event) { d.config.Recorder.Record(e) }

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, c clockwork.Clock, t time.Duration) bool {
	select {
	case <-c.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}
