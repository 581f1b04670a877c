package pagate

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"papayahead/pabucket"
	"papayahead/paclock"
	"papayahead/paconn"
	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/palane"
	"papayahead/paquarantine"
	"papayahead/pashare"
	"papayahead/pasteer"
)

// Gate is the daemon of an entry VM.
type Gate struct {
	config Config
	self   pafleet.Entry
	state  atomic.Pointer[state]
	// events is the input of the control loop.
	events chan event
	peers  *peers
	// historyLost is set while the store cannot tell what changed since the own state, listing while the whole store is being read.
	historyLost, listing atomic.Bool
	// quotas holds this entry VM's shares of the rate limits, limiter the shared pools while this entry VM is the
	// limiter.
	quotas  *rateShares
	limiter *limiter
	returns returns
	memory  memory
	conns   *paconn.Pool
	// relayConns are the connections to relays; relayCancels ends what waits for a relay that is lost.
	relayConns *paconn.Pool
	// senderConns are the connections to the senders of targets in this zone.
	senderConns  *paconn.Pool
	relayCancels paconn.Cancels
	// pathFailed wakes watchPaths. lostPaths are the services whose targets this entry VM fails to reach, lostSince when
	// it began to relay their requests, for watchPaths alone, and pathFailures how the latest connection failed.
	pathFailed   chan struct{}
	lostPaths    atomic.Pointer[lostServices]
	lostSince    map[string]time.Time
	pathFailures sync.Map
	meter        *meter
	logged       logState
	// endChecks are the targets that may have ended, quarantine what is known of the requests that they had.
	endChecks  paquarantine.EndChecks
	quarantine paquarantine.Quarantine
	// unreadableLimits are the targets that named a limit which is no rate, as logged.
	unreadableLimits sync.Map
	// unreadablePushbacks are the targets that asked for no requests for something that is no time, as logged.
	unreadablePushbacks sync.Map
	// pushbackLines bounds the log lines on targets that want no requests.
	pushbackLines pabucket.Bucket
	// fleetPeak is the peak number of registered entry VMs; only the control loop uses it.
	fleetPeak pashare.Peak
	// census counts the entry VMs that share with this one; only the control loop uses it. sharers is their number.
	census  pashare.Census
	sharers atomic.Int64
	// unprovenLines bounds the log lines on responses that may be no refusals.
	unprovenLines pabucket.Bucket
	// endLog bounds the log lines on requests that were refused or failed.
	endLog pabucket.Bucket
	// startedAt and startUptime are when the process started; firstConfig is closed when it has a configuration.
	startedAt   time.Time
	startUptime time.Duration
	firstConfig chan struct{}
	// droppedLines counts log lines that were dropped; nil if it is not counted.
	droppedLines atomic.Pointer[atomic.Uint64]

	// balancerMutex guards the balancer and the random source, which all requests share. relayPeersAt is when the balancer was
	// last told of the other entry VMs for the sake of limited targets.
	balancerMutex sync.Mutex
	balancer      *pasteer.Balancer
	relayPeersAt  time.Time
	// retries counts the decisions on retries for the log.
	retries retryLog
	// waiting are the requests that wait in the balancer's room.
	waiting map[*pasteer.Waiter]*waitingRequest

	// requestsCtx is canceled shortly before the process is killed, so that requests in progress still get a
	// response.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc

	ports ports
	// clientListener accepts the clients' connections.
	clientListener *palane.Listener
	shuttingDown   atomic.Bool
	// shutdownAt is when the shutdown started, in Unix nanoseconds.
	shutdownAt atomic.Int64
	inFlight   atomic.Int64
	// relayedInFlight are the requests in progress that other entry VMs received.
	relayedInFlight atomic.Int64
	// reregister wakes keepRegistered.
	reregister chan struct{}
	traffic    controlTraffic
	goroutines sync.WaitGroup
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
		events:        make(chan event, maxEvents),
		logged:        logState{appliedLines: pabucket.Bucket{Rate: appliedLineRate, Burst: appliedLineBurst}},
		endLog:        pabucket.Bucket{Rate: endLineRate, Burst: endLineBurst},
		unprovenLines: pabucket.Bucket{Rate: changeLineRate, Burst: changeLineBurst},
		pushbackLines: pabucket.Bucket{Rate: changeLineRate, Burst: changeLineBurst},
		startedAt:     c.Clock.Now(), firstConfig: make(chan struct{}),
		reregister: make(chan struct{}, 1), pathFailed: make(chan struct{}, 1), lostSince: map[string]time.Time{},
		waiting: map[*pasteer.Waiter]*waitingRequest{},
		balancer: pasteer.New(pasteer.Config{
			Name: s.Name, Zone: s.Zone, Region: s.Region, Regions: s.Regions,
			RetryRatio: s.RetryRatio, RetryWindow: s.RetryWindow, RetryFloor: s.RetryFloor, MaxShift: s.MaxShift,
			Contended: s.Contended, Off: c.Off,
		}),
	}
	g.memory.budget.OnReceived = c.OnReceived
	g.memory.budget.SetMemory(s.MemoryMB)
	g.ports.set(c)
	g.requestsCtx, g.cancelRequests = context.WithCancel(context.Background())
	g.startUptime = g.uptime()
	g.census = pashare.Census{Name: s.Name, MaxAge: shareMaxAge(s)}
	g.self.BornUp = g.startUptime.Milliseconds()
	g.state.Store(&state{verifiedAt: longBeforeStart})
	g.meter = newMeter(g)
	g.conns = g.newPool(c.Network.Dial, 0)
	g.relayConns = g.newPool(g.dialRelay, 0)
	g.senderConns = g.newSenderPool()
	g.peers = newPeers(g)
	g.limiter = newLimiter(g)
	g.quotas = newRateShares(g)
	g.exportTraffic()
	g.exportWaiting()
	return g
}

// maxEvents bounds the queue of the control loop. The replies of a few dozen neighbours and of the store may come at
// once; each takes microseconds to handle.
const maxEvents = 256

const (
	// maxHeader bounds the memory for a request's header; the configured limit, which may change, is checked for
	// each request.
	maxHeader = 256 << 10
	// headerTimeout and idleTimeout bound slow and silent clients while there is no configuration, and on the
	// ports for look-ups and readiness checks.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Run serves until soft is done, and then shuts down gracefully; hard ends it at once. It returns an error if it
// cannot listen.
func (g *Gate) Run(soft, hard context.Context) error {
	ctx, cancel := context.WithCancel(hard)
	defer cancel()
	if err := g.listen(); err != nil {
		return err
	}
	clients := g.laneConfig(portClients, g.ports.shares.Clients)
	clients.MaxRefusing = g.ports.shares.Refusing
	front := g.memory.add(palane.NewServer(clients, http.HandlerFunc(g.serveClient)))
	g.clientListener = front.Listener
	ready := g.newServer(g.laneConfig(portReadiness, g.ports.shares.Readiness), g.serveReady)
	lookUps := g.newServer(g.laneConfig(portLookUps, g.ports.shares.LookUps), g.serveLookUp)
	s := g.config.Settings
	g.record(paevent.Started{
		Role: "gate", Version: g.config.Version, Zone: s.Zone, Callers: s.Front.String(), Peers: s.Peers.String(),
	})
	g.spawn(func() { g.followStore(ctx) })
	g.spawn(func() { g.followOperator(ctx) })
	g.spawn(func() { g.keepRegistered(ctx) })
	g.spawn(func() { g.saveWarmNotes(ctx) })
	g.spawn(func() { g.peers.run(ctx) })
	g.spawn(func() { g.quotas.run(ctx) })
	g.spawn(func() { g.limiter.run(ctx) })
	g.spawn(func() { g.logTraffic(ctx) })
	g.spawn(func() { g.watchPaths(ctx) })
	g.servePeers(ctx, g.ports.listeners[portPeers])
	g.spawn(func() { g.controlLoop(ctx) })
	g.exportConnections(map[string]*palane.Listener{"LookUps": lookUps.Listener, "Readiness": ready.Listener})
	g.exportMemory()
	g.serve(front.Listener.Run)
	g.serve(func() error { return front.HTTP.Serve(front.Listener) })
	g.serve(ready.Run)
	g.serve(lookUps.Run)
	select {
	case <-soft.Done():
		g.shutDown(hard, g.ports.listeners[portClients])
	case <-hard.Done():
	}
	g.cancelRequests()
	front.Close()
	ready.Close()
	lookUps.Close()
	cancel()
	g.goroutines.Wait()
	return nil
}

func (g *Gate) spawn(f func()) {
	g.goroutines.Add(1)
	go func() {
		defer g.goroutines.Done()
		f()
	}()
}

func (g *Gate) record(e paevent.Event) {
	if g.config.Recorder != nil {
		g.config.Recorder.Record(e)
	}
}

// sleep waits for a time and reports whether ctx is not done yet.
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

// random returns a random number in [0, 1).
func (g *Gate) random() float64 {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	return g.config.Random.Float64()
}

// Reload applies new settings to a running Gate. Only the retry budget and MaxShift change; zones and addresses stay
// those of the start.
func (g *Gate) Reload(s Settings) {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	c := &g.balancer.Config
	c.RetryRatio, c.RetryWindow, c.RetryFloor, c.MaxShift = s.RetryRatio, s.RetryWindow, s.RetryFloor, s.MaxShift
}
