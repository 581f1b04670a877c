package pagate

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/palane"
	"papayahead/paroute"
	"papayahead/pasteer"
)

const (
	slowCallers  = 1000
	slowBody     = 200 << 10
	slowMemoryMB = 184
)

// bufferGate is a Gate of a process with the memory limit of a small VM.
func bufferGate(contended bool) *Gate {
	return New(Config{
		Settings: Settings{Name: "e", Contended: contended, MemoryMB: slowMemoryMB}, Network: noNetwork{},
		Clock: clockwork.NewRealClock(),
	})
}

func bufferExchange(g *Gate, priority int) *exchange {
	x := g.newExchange(httptest.NewRequest(http.MethodGet, "/", http.NoBody))
	x.route = &paroute.Route{Name: "r", Priority: priority}
	return x
}

// unreadWriter is a response that its caller does not read before read is closed.
type unreadWriter struct {
	header http.Header
	read   chan struct{}
	bytes  int
}

func (w *unreadWriter) Header() http.Header { return w.header }
func (w *unreadWriter) WriteHeader(int)     {}
func (w *unreadWriter) Write(p []byte) (int, error) {
	<-w.read
	w.bytes += len(p)
	return len(p), nil
}

// receive reads a response as an attempt does.
func (g *Gate) receive(x *exchange) attemptResult {
	own, other := net.Pipe()
	other.Close()
	written := make(chan struct{})
	close(written)
	a := &attempt{
		gate: g, x: x, conn: g.connOn(own),
		sending: &bodySending{done: written, err: net.ErrClosed},
	}
	body := io.NopCloser(io.LimitReader(zeros{}, slowBody))
	r := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, ContentLength: slowBody, Close: true}
	return a.readBody(context.Background(), r, attemptResult{outcome: pasteer.Answered})
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heldBy has a number of callers that do not read their responses, and returns the heap that they take, the bytes counted and how
// many of the responses are held whole.
func heldBy(t *testing.T, g *Gate, callers int) (heap uint64, counted int64, whole int) {
	before := liveHeap()
	read := make(chan struct{})
	var mutex sync.Mutex
	var started, done sync.WaitGroup
	for i := range callers {
		started.Add(1)
		done.Add(1)
		go func() {
			defer done.Done()
			x := bufferExchange(g, i%3)
			defer x.hold.Release()
			r := g.receive(x)
			mutex.Lock()
			if r.reply.rest == nil {
				whole++
			}
			mutex.Unlock()
			started.Done()
			w := &unreadWriter{header: http.Header{}, read: read}
			g.writeReply(w, x, r)
			if w.bytes != slowBody {
				t.Errorf("%d bytes arrived", w.bytes)
			}
		}()
	}
	started.Wait()
	heap, counted = liveHeap()-before, g.memory.budget.Held()
	close(read)
	done.Wait()
	if held := g.memory.budget.Held(); held != 0 {
		t.Errorf("%d bytes are held after the end", held)
	}
	return heap, counted, whole
}

// Guards against callers that do not read their responses and end the process by the memory that these hold.
func TestUnreadResponsesStayWithinTheBudget(t *testing.T) {
	g := bufferGate(true)
	heap, counted, whole := heldBy(t, g, slowCallers)
	t.Logf("%d callers: heap %d bytes, counted %d of %d, %d responses whole", slowCallers, heap, counted, g.memory.budget.Limit(), whole)
	if counted > g.memory.budget.Limit() || heap > slowMemoryMB<<20/4 || whole == 0 {
		t.Errorf("%d bytes counted, heap %d", counted, heap)
	}
	heap, counted, whole = heldBy(t, g, 20)
	if whole != 20 {
		t.Errorf("of 20 responses %d are held whole: heap %d, counted %d", whole, heap, counted)
	}
	if heap, counted, whole = heldBy(t, bufferGate(false), slowCallers); counted > g.memory.budget.Limit() || heap > slowMemoryMB<<20/4 || whole == 0 {
		t.Errorf("without contended services %d bytes counted, heap %d", counted, heap)
	}
	unlimited := New(Config{Settings: Settings{Name: "e"}, Network: noNetwork{}, Clock: clockwork.NewRealClock()})
	if _, counted, whole = heldBy(t, unlimited, 200); counted != 0 || whole != 200 {
		t.Errorf("without a memory limit %d bytes are counted, %d of 200 responses are whole", counted, whole)
	}
}

// Guards against a target that reads bodies slowly and ends the process by those that wait for it, and against urgent requests that
// are refused before others.
func TestUnsentBodiesStayWithinTheBudget(t *testing.T) {
	g := bufferGate(true)
	var refused [3]int
	for i := range slowCallers {
		x := bufferExchange(g, i%3)
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", slowBody)))
		switch status, reason := g.readBody(x, r, paroute.Limits{}); status {
		case 0:
			if len(x.buffered) != slowBody {
				t.Fatalf("%d bytes held", len(x.buffered))
			}
		case http.StatusServiceUnavailable:
			refused[i%3]++
			x.hold.Release()
		default:
			t.Fatal(status, reason)
		}
	}
	t.Logf("refused by priority: %v; %d of %d bytes held", refused, g.memory.budget.Held(), g.memory.budget.Limit())
	if g.memory.budget.Held() > g.memory.budget.Limit() || refused[0] >= refused[1] || refused[1] >= refused[2] {
		t.Errorf("refused by priority: %v, %d bytes held", refused, g.memory.budget.Held())
	}
	w := httptest.NewRecorder()
	g.config.Random = nil
	x := bufferExchange(g, 0)
	x.reserved = true
	g.refuseBody(w, x, http.StatusServiceUnavailable, reasonBuffersFull)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, headers %v", w.Code, w.Header())
	}
}

// Guards against responses to requests without a body that all count as the most urgent.
func TestUrgencyOfRequestsWithoutABody(t *testing.T) {
	g := bufferGate(true)
	x := bufferExchange(g, 2)
	if status, reason := g.readBody(x, httptest.NewRequest(http.MethodGet, "/", http.NoBody), paroute.Limits{}); status != 0 || x.hold.Priority != 2 {
		t.Errorf("status %d, reason %q, priority %d", status, reason, x.hold.Priority)
	}
}

// Guards against a response that breaks off and looks whole, as it was not held.
func TestResponseThatBreaksOffWithoutABufferIsCutOff(t *testing.T) {
	g := bufferGate(true)
	full := bufferExchange(g, 0)
	for _, err := g.hold(full, zeros{}); err == nil; _, err = g.hold(full, zeros{}) {
		continue
	}
	x := bufferExchange(g, 0)
	r := g.receive(x)
	r.reply.rest = &restReader{Reader: io.MultiReader(io.LimitReader(r.reply.rest, 10), brokenReader{})}
	defer func() {
		if recover() != http.ErrAbortHandler {
			t.Error("the response was ended as if it were whole")
		}
	}()
	g.writeReply(httptest.NewRecorder(), x, r)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// newUnreadLane returns the client's end of a connection with one request, which the handler responds to; ended is closed when it
// returns.
func newUnreadLane(t *testing.T, clock clockwork.Clock, handler func(*exchange, http.ResponseWriter)) (client net.Conn, ended chan struct{}) {
	ended = make(chan struct{})
	base := oneConnListener{make(chan net.Conn, 1), make(chan struct{})}
	l := palane.NewListener(palane.Config{Base: base, Clock: clock})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer close(ended)
			handler(&exchange{lane: palane.FromContext(r.Context())}, w)
		}),
		ConnState: l.TrackState, ConnContext: palane.WithLane,
	}
	for _, run := range []func() error{l.Run, func() error { return server.Serve(l) }} {
		go func() {
			if err := run(); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
				t.Error(err)
			}
		}()
	}
	t.Cleanup(func() { server.Close() })
	client, own := net.Pipe()
	base.conns <- own
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return client, ended
}

// oneConnListener is a net.Listener of in-memory connections.
type oneConnListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l oneConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l oneConnListener) Close() error {
	close(l.done)
	return nil
}

func (l oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a caller that never reads its response and holds it for as long as it likes.
func TestUnreadResponseEndsAfterItsDeadline(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(Config{Settings: Settings{Contended: true, MemoryMB: slowMemoryMB}, Network: noNetwork{}, Clock: clock})
	client, ended := newUnreadLane(t, clock, func(x *exchange, w http.ResponseWriter) {
		x.deadline = clock.Now().Add(time.Second)
		defer g.boundUnread(x)()
		_, err := io.CopyN(w, zeros{}, 64<<20)
		if err == nil {
			t.Error("a response that was not read is written")
		}
	})
	defer client.Close()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second + unreadSlack)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the response is still held")
	}
}
