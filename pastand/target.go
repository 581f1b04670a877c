package pastand

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/paevent"
)

// RunTime is a log-normal distribution of run times.
type RunTime struct {
	// Mean is the mean run time.
	Mean time.Duration
	// Spread is the standard deviation of the logarithm; 0 makes all runs alike.
	Spread float64
}

// maxRunTimes bounds a sample to this multiple of the mean, so that a test's length has a bound.
const maxRunTimes = 20

// sample draws one run time.
func (r RunTime) sample(normal float64) time.Duration {
	factor := math.Exp(r.Spread*normal - r.Spread*r.Spread/2)
	return time.Duration(float64(r.Mean) * math.Min(factor, maxRunTimes))
}

// ColdStart slows the first runs of a target that has just started.
type ColdStart struct {
	// Factor multiplies run times at the start and falls to 1 over Runs executions; 0 is no cold start.
	Factor float64
	Runs   int
}

// factor returns the multiplier of the execution number done.
func (c ColdStart) factor(done int) float64 {
	if c.Factor <= 1 || done >= c.Runs {
		return 1
	}
	left := float64(c.Runs-done) / float64(c.Runs)
	return 1 + (c.Factor-1)*left
}

// Target is a stand-in for a target VM; set the exported fields before the first request.
type Target struct {
	Name    string
	Service string
	// Slots is how many requests run at once; Queue more wait, the rest are shed with 503.
	Slots, Queue int
	// MaxConnections closes connections beyond it at once; 0 is no limit.
	MaxConnections int
	// RunTimes gives the run time for each class; the class "" is for all others.
	RunTimes map[string]RunTime
	Cold     ColdStart
	// ReportLag is how old the answers of /Health and /Load are.
	ReportLag time.Duration
	Clock     clockwork.Clock
	// Recorder, if set, takes the target's events and serves them at paevent.TimelinePath.
	Recorder *paevent.Recorder
	// Random is used under the target's lock.
	Random *rand.Rand

	mutex    sync.Mutex
	faults   Faults
	inFlight int
	waiting  int
	done     int
	freed    chan struct{}
	reports  []report
	log      executionLog
}

// Inject replaces the target's faults.
func (t *Target) Inject(f Faults) {
	t.mutex.Lock()
	t.faults = f
	t.mutex.Unlock()
	if t.Recorder != nil {
		data, _ := json.Marshal(f)
		t.Recorder.Record(paevent.FaultsInjected{Target: t.Name, Faults: string(data)})
	}
}

// Handler returns the target's HTTP interface: /Health, /Load, /Executions, /Faults, and the
// service itself on every other path.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /Health", t.serveHealth)
	mux.HandleFunc("GET /Load", t.serveLoad)
	mux.HandleFunc("GET /Executions", t.serveExecutions)
	mux.HandleFunc("GET /Faults", t.serveFaults)
	mux.HandleFunc("POST /Faults", t.replaceFaults)
	if t.Recorder != nil {
		mux.Handle("GET "+paevent.TimelinePath, t.Recorder)
	}
	mux.HandleFunc("/", t.serveRequest)
	return mux
}

// Server returns an HTTP server for the target; serve it on the listener that Limit returns.
func (t *Target) Server() *http.Server {
	return &http.Server{Handler: t.Handler(), ReadHeaderTimeout: targetHeaderTimeout}
}

// targetHeaderTimeout bounds how long a connection may take over its header.
const targetHeaderTimeout = 10 * time.Second

// Limit returns a listener that closes the connections beyond MaxConnections at once.
func (t *Target) Limit(l net.Listener) net.Listener {
	if t.MaxConnections <= 0 {
		return l
	}
	return &limitedListener{Listener: l, room: make(chan struct{}, t.MaxConnections)}
}

// limitedListener closes connections that find no room.
type limitedListener struct {
	net.Listener
	room chan struct{}
}

// Accept returns the next connection for which there is room.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.room <- struct{}{}:
			return &limitedConn{Conn: c, release: func() { <-l.room }}, nil
		default:
			c.Close()
		}
	}
}

// limitedConn gives its room back once.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
