package palane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Config is what a Listener needs.
type Config struct {
	Base  net.Listener
	Clock clockwork.Clock
	// MaxHeaderBytes is the MaxHeaderBytes of the server.
	MaxHeaderBytes int
	// HeaderTimeout returns how long a caller may take to send the head of a request; zero is no limit.
	HeaderTimeout func() time.Duration
}

// MaxPipelined is how many requests of one connection are under way at once.
//
// Load: a caller that writes request after request and reads no answer. Harm prevented: each takes a goroutine,
// buffers of 8 KB and a slot of a target. Callers that wait for some answers at a time stay well below it.
const MaxPipelined = 16

// Listener accepts lanes. Set Observe as ConnState and WithLane as ConnContext of the server that serves it, and
// leave the server's timeouts at zero: the Listener keeps those of callers' connections.
type Listener struct {
	config Config
	lanes  chan *Lane
	ctx    context.Context
	end    context.CancelFunc
	// held is the bytes of answers that wait for their turn on all connections.
	held atomic.Int64

	mutex sync.Mutex
	open  map[*conn]struct{}
}

// NewListener returns a Listener for the connections of c.Base.
func NewListener(c Config) *Listener {
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = http.DefaultMaxHeaderBytes
	}
	l := &Listener{config: c, lanes: make(chan *Lane), open: map[*conn]struct{}{}}
	l.ctx, l.end = context.WithCancel(context.Background())
	return l
}

// Run accepts callers' connections until the base listener is closed, and returns its error.
func (l *Listener) Run() error {
	for {
		raw, err := l.config.Base.Accept()
		if err != nil {
			return err
		}
		c := newConn(l, raw)
		l.mutex.Lock()
		l.open[c] = struct{}{}
		l.mutex.Unlock()
		go c.run()
	}
}

// Accept returns the next lane, for the server.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case lane := <-l.lanes:
		return lane, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Addr returns the base listener's address.
func (l *Listener) Addr() net.Addr { return l.config.Base.Addr() }

// Close ends Accept and Run. To take no more connections and serve those that are open, close the base listener.
func (l *Listener) Close() error {
	l.end()
	return l.config.Base.Close()
}

// CloseConnections closes all connections.
func (l *Listener) CloseConnections() {
	for _, c := range l.all() {
		c.leave()
		c.raw.Close()
	}
}

// CloseIdle closes connections that were unused for longer than the limit.
func (l *Listener) CloseIdle(now time.Time, limit time.Duration) {
	for _, c := range l.all() {
		c.closeUnused(func(_ bool, since time.Time) bool { return now.Sub(since) > limit })
	}
}

// Drain closes the connections on which no request runs or has arrived, but for those that never carried one and
// are younger than the grace, and returns how many are left.
func (l *Listener) Drain(now time.Time, grace time.Duration) int {
	left := 0
	for _, c := range l.all() {
		if !c.closeUnused(func(served bool, since time.Time) bool { return served || now.Sub(since) > grace }) {
			left++
		}
	}
	return left
}

func (l *Listener) all() []*conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make([]*conn, 0, len(l.open))
	for c := range l.open {
		all = append(all, c)
	}
	return all
}

func (l *Listener) forget(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, c)
}

// TrackState follows the lanes' states for the server that serves them.
func (l *Listener) TrackState(n net.Conn, s http.ConnState) {
	if lane, ok := n.(*Lane); ok && s == http.StateIdle {
		lane.conn.answered(lane)
	}
}

type laneKey struct{}

// WithLane makes the lane of a request known to its handler.
func WithLane(ctx context.Context, n net.Conn) context.Context {
	if lane, ok := n.(*Lane); ok {
		return context.WithValue(ctx, laneKey{}, lane)
	}
	return ctx
}

// FromContext returns the lane of a request, or nil if it has none.
func FromContext(ctx context.Context) *Lane {
	lane, _ := ctx.Value(laneKey{}).(*Lane)
	return lane
}
