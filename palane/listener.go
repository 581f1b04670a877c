package palane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pabuffer"
)

// Config configures a Listener.
type Config struct {
	// Base accepts the client connections.
	Base  net.Listener
	Clock clockwork.Clock
	// MaxHeaderBytes is that of the http.Server; zero or less is http.DefaultMaxHeaderBytes.
	MaxHeaderBytes int
	// HeaderTimeout returns how long a client may take to send a request header; a nil function or zero is no limit.
	HeaderTimeout func() time.Duration
	// MaxConns is how many connections may be open; beyond it unused ones are closed first. Up to MaxRefusing further clients are
	// each allowed one request, whose lane says that it is Refused. 0 is no bound.
	MaxConns, MaxRefusing int
	// Memory is the account of what connections and requests cost; nil is no bound. MaxHead returns how long a request's head may be, in
	// bytes; a nil function or zero stands for MaxHeaderBytes. LacksMemory is called when there was no room; it may be nil.
	Memory      *pabuffer.Budget
	MaxHead     func() int
	LacksMemory func()
	// Refuse returns the response to a client whose request is refused before the server gets it; a nil function stands for responses
	// like the http.Server's own. It closes the connection, and must say so.
	Refuse func(why Refusal) []byte
	// Serial says that the requests of a connection are served one after the other, as by an http.Server.
	Serial bool
}

// maxHead returns how long the head of a request may be.
func (l *Listener) maxHead() int {
	if l.config.MaxHead != nil {
		if n := l.config.MaxHead(); n > 0 {
			return min(n, l.config.MaxHeaderBytes)
		}
	}
	return l.config.MaxHeaderBytes
}

func (l *Listener) lacksMemory() {
	if l.config.LacksMemory != nil {
		l.config.LacksMemory()
	}
}

func (l *Listener) maxPipelined() int {
	if l.config.Serial {
		return 1
	}
	return MaxPipelined
}

// MaxPipelined is the maximum number of requests in flight on one connection.
//
// Each takes a goroutine, 8 KB of buffers and a slot of a target, so that a client that sends request after request
// without reading responses would exhaust them. Ordinary pipelining clients stay well below the limit.
const MaxPipelined = 16

// Listener is a net.Listener whose connections are the lanes of client connections.
//
// Set TrackState as ConnState and WithLane as ConnContext of the http.Server on it. Leave the server's timeouts at zero:
// the Listener applies the header timeout, and CloseIdle the idle timeout, to the client connections.
type Listener struct {
	config Config
	lanes  chan *Lane
	ctx    context.Context
	cancel context.CancelFunc
	// buffered is the number of response bytes that wait for their turn on all connections.
	buffered atomic.Int64
	// madeRoomAt is when MakeRoom last looked for connections to close, in Unix nanoseconds.
	madeRoomAt atomic.Int64

	mutex sync.Mutex
	conns map[*conn]struct{}
	// refusing is how many of conns are of clients that are refused; room holds what was done for lack of room.
	refusing int
	room     room
}

// NewListener returns a Listener for the connections of c.Base. Call Run to accept them.
func NewListener(c Config) *Listener {
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = http.DefaultMaxHeaderBytes
	}
	l := &Listener{config: c, lanes: make(chan *Lane), conns: map[*conn]struct{}{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Run accepts client connections until the base listener fails or is closed, and returns its error. The base listener should fail
// only when it is closed, as a paport.Listener does.
func (l *Listener) Run() error {
	l.boundReceived()
	for {
		raw, err := l.config.Base.Accept()
		if err != nil {
			return err
		}
		if c := l.admit(raw); c != nil {
			go c.run()
		}
	}
}

// Accept returns the next lane to the server. It fails with net.ErrClosed after Close.
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

// Close ends Accept and Run. To stop accepting connections but serve the open ones, close the base listener instead.
func (l *Listener) Close() error {
	l.cancel()
	return l.config.Base.Close()
}

// CloseConnections closes all client connections, also those with requests in flight.
func (l *Listener) CloseConnections() {
	for _, c := range l.connections() {
		c.disconnect()
		c.raw.Close()
	}
}

// CloseIdle closes the connections that have been unused for longer than limit.
func (l *Listener) CloseIdle(now time.Time, limit time.Duration) {
	for _, c := range l.connections() {
		c.closeIfUnused(func(_ bool, since time.Time) bool { return now.Sub(since) > limit })
	}
}

// Drain closes the connections without a request in flight or arriving, and returns how many are left. A connection
// that hasn't carried a request yet is closed only once it is older than grace.
func (l *Listener) Drain(now time.Time, grace time.Duration) int {
	left := 0
	for _, c := range l.connections() {
		if !c.closeIfUnused(func(served bool, since time.Time) bool { return served || now.Sub(since) > grace }) {
			left++
		}
	}
	return left
}

func (l *Listener) connections() []*conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

func (l *Listener) remove(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if c.refused {
		l.refusing--
		return
	}
	l.putBackConn()
}

// TrackState is the ConnState hook of the http.Server: a lane that becomes idle has sent its response.
func (l *Listener) TrackState(n net.Conn, s http.ConnState) {
	if lane, ok := n.(*Lane); ok && s == http.StateIdle {
		lane.conn.responseDone(lane)
	}
}

type laneKey struct{}

// WithLane is the ConnContext hook of the http.Server: it adds the lane to the context of its requests, for FromContext.
func WithLane(ctx context.Context, n net.Conn) context.Context {
	if lane, ok := n.(*Lane); ok {
		return context.WithValue(ctx, laneKey{}, lane)
	}
	return ctx
}

// FromContext returns the lane of a request from the request's context, or nil if it has none.
func FromContext(ctx context.Context) *Lane {
	lane, _ := ctx.Value(laneKey{}).(*Lane)
	return lane
}
