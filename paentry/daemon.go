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

	"papayahead/pabuffer"
	"papayahead/pabundle"
	"papayahead/paclock"
	"papayahead/pacontrol"
	"papayahead/paevent"
	"papayahead/palane"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paport"
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
	// done is closed when the control goroutine has returned, draining when the graceful shutdown begins.
	done, draining chan struct{}

	front   *paproxy.Proxy
	targets *paproxy.TargetClient
	peers   *peers
	links   *links
	heads   *paroll.HeadWatch
	metrics *metrics

	lastID   atomic.Uint64
	requests sync.Map // paproxy.Request.Exchange to *pendingRequest
	inFlight atomic.Int64
	// waiting are the requests that may get a placement; only the control goroutine uses it.
	waiting map[paowner.RequestID]*pendingRequest

	// memory is the account of what clients, their requests, and messages of other daemons cost.
	memory pabuffer.Budget

	listeners  listeners
	tasks      sync.WaitGroup
	tasksMutex sync.Mutex
	tasksEnded bool
}

// listeners holds the listening sockets; a nil one is not open.
type listeners struct{ callers, peers, operators net.Listener }

// bytesPerMB is a megabyte in bytes.
const bytesPerMB = 1 << 20

// New returns a Daemon; Run opens its ports. It fails if the control state refuses the settings.
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
		waiting:  map[paowner.RequestID]*pendingRequest{},
		metrics:  newMetrics(),
	}
	d.snapshot.Store(&pacontrol.Snapshot{})
	d.peers = newPeers(d)
	d.links = newLinks(c.Clock, s.Region)
	d.heads = &paroll.HeadWatch{
		Deployment: s.Deployment, Store: c.Store, Clock: c.Clock, Events: c.Recorder,
		Random: rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64())),
		OnHead: func(h pabundle.Head) { d.post(pacontrol.HeadFound{Head: h}) },
	}
	d.targets = &paproxy.TargetClient{Dial: c.Network.Dial, Clock: c.Clock, Events: c.Recorder, Stamps: &c.Recorder.Stamps, Memory: &d.memory}
	d.memory.OnReceived = c.OnReceived
	d.memory.SetMemory(float64(s.MaxMemory) / bytesPerMB)
	d.front = d.newFront()
	return d, nil
}

// Run opens the ports and serves until ctx is cancelled, then shuts down gracefully and returns.
// Cancelling abort cuts the shutdown short: requests in flight are dropped. Run returns an error
// only if a port can't be opened.
func (d *Daemon) Run(ctx, abort context.Context) error {
	if err := d.open(ctx); err != nil {
		return trace.Wrap(err)
	}
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	d.serve(serveCtx)
	s := d.config.Settings
	d.record(paevent.Started{
		Role: "entry", Version: d.config.Version, Zone: string(s.Zone),
		Callers: s.CallersAddress.String(), Peers: s.PeersAddress.String(),
	})
	<-ctx.Done()
	d.drain(abort)
	stopServing()
	d.listeners.close()
	d.endTasks()
	d.targets.Close()
	// The error does not matter: only idle connections are left.
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
		*l.to = paport.NewListener(paport.Config{Base: opened, Clock: d.config.Clock, OnError: func(err error) {
			d.config.Recorder.Record(paevent.AcceptFailed{Port: l.address.String(), Reason: err.Error()})
		}})
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

// serve starts the daemon's goroutines; they return when ctx is cancelled.
func (d *Daemon) serve(ctx context.Context) {
	s := d.config.Settings
	go d.runControl(ctx)
	d.spawn(func() { d.pollVMList(ctx) })
	d.spawn(func() { d.heads.Run(ctx) })
	d.spawn(func() { d.servePeers(ctx) })
	d.spawn(func() { d.reportCPU(ctx) })
	d.spawn(func() { d.serveHTTP(ctx, d.listeners.callers, s.MaxConnections, d.callersHandler()) })
	d.spawn(func() { d.serveHTTP(ctx, d.listeners.operators, maxOperatorConns, d.operatorsHandler()) })
}

// endTasks keeps further tasks from starting and waits for the running ones.
func (d *Daemon) endTasks() {
	d.tasksMutex.Lock()
	d.tasksEnded = true
	d.tasksMutex.Unlock()
	d.tasks.Wait()
}

// spawn runs f on a goroutine that Run waits for. Once endTasks has been called it does nothing: the
// control goroutine, which is not a task, may still start calls then, and WaitGroup.Add must not run
// concurrently with WaitGroup.Wait.
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

// serveHTTP serves until ctx is cancelled, then shuts the server down, which waits until responses in
// progress are written: net/http may still buffer the end of a response after its handler returned.
func (d *Daemon) serveHTTP(ctx context.Context, l net.Listener, maxConns int, h http.Handler) {
	server := d.newServer(l, maxConns, h)
	defer server.Close()
	flushed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(flushed)
		limit, cancel := paclock.WithTimeout(context.WithoutCancel(ctx), d.config.Clock, flushTimeout)
		defer cancel()
		if server.HTTP.Shutdown(limit) != nil {
			server.HTTP.Close()
		}
	})
	d.spawn(func() { d.closeIdle(ctx, server) })
	// Both return only once the server or its listener, which fails at nothing else, is closed, on shutdown.
	_ = server.Run()
	if !stop() {
		<-flushed
	}
}

// newServer returns the server of a port for HTTP, whose connections and requests take from the account of the memory.
func (d *Daemon) newServer(l net.Listener, maxConns int, h http.Handler) *palane.Server {
	var server *palane.Server
	server = palane.NewServer(palane.Config{
		Base: l, Clock: d.config.Clock, MaxHeaderBytes: paproxy.DefaultMaxHeader, MaxConns: maxConns, Memory: &d.memory, Serial: true,
		HeaderTimeout: func() time.Duration { return paproxy.DefaultHeaderTimeout },
		LacksMemory:   func() { server.MakeRoom() }, Refuse: paproxy.RefuseUnread,
	}, d.closeWhenDraining(h))
	return server
}

// closeIdle closes connections that have been idle for too long, until ctx is cancelled.
func (d *Daemon) closeIdle(ctx context.Context, s *palane.Server) {
	for sleep(ctx, d.config.Clock, idleCheckInterval) {
		s.CloseIdle(d.config.Clock.Now(), paproxy.DefaultIdleTimeout)
	}
}

const (
	// idleCheckInterval is the time between two searches for idle connections.
	idleCheckInterval = time.Second
	// maxOperatorConns bounds the connections of operators and of what collects metrics.
	maxOperatorConns = 256
)

// flushTimeout bounds how long net/http may take to write buffered responses after the last request has ended.
const flushTimeout = 2 * time.Second

// closeWhenDraining adds "Connection: close" to responses once the graceful shutdown has begun. Idle
// connections stay open until then, because a caller's next request may already be on its way.
func (d *Daemon) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-d.draining:
			w.Header().Set("Connection", "close")
		default:
		}
		h.ServeHTTP(w, r)
	})
}

// drain shuts down gracefully. It first tells the peers, which leave this entry VM out of their
// look-up answers, then serves on until cached answers have expired and the last request has ended,
// the drain limit has passed or abort is cancelled.
func (d *Daemon) drain(abort context.Context) {
	start := d.config.Clock.Now()
	d.record(paevent.Stopping{Reason: "asked to stop", InFlight: int(d.inFlight.Load())})
	d.post(pacontrol.StopAsked{})
	close(d.draining)
	wait := d.config.Clock.NewTimer(d.config.Settings.TimeToLive + drainMargin)
	defer wait.Stop()
	select {
	case <-wait.Chan():
		d.awaitIdle(abort, start.Add(d.config.Settings.DrainLimit))
	case <-abort.Done():
	}
	d.stepAndWait(pacontrol.Departed{})
	d.record(paevent.Stopped{
		CutOff:            int(d.inFlight.Load()),
		DrainMilliseconds: d.config.Clock.Since(start).Milliseconds(),
	})
}

const (
	// drainMargin allows for the time until every entry VM that answers look-ups knows that this one is
	// leaving, and until a caller's request arrives. If it is too short, a caller that looked up just
	// before is cut off.
	drainMargin = 2 * time.Second
	// idlePollInterval is how often a draining daemon checks for requests in flight.
	idlePollInterval = 50 * time.Millisecond
)

// awaitIdle waits until no request is in flight, abort is cancelled or the limit has passed.
func (d *Daemon) awaitIdle(abort context.Context, limit time.Time) {
	for d.inFlight.Load() > 0 && d.config.Clock.Now().Before(limit) {
		select {
		case <-d.config.Clock.After(idlePollInterval):
		case <-abort.Done():
			return
		}
	}
}

func (d *Daemon) record(e paevent.Event) { d.config.Recorder.Record(e) }

// sleep waits for t and returns true, or returns false as soon as ctx is cancelled.
func sleep(ctx context.Context, c clockwork.Clock, t time.Duration) bool {
	select {
	case <-c.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}
