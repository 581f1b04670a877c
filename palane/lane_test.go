package palane

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
)

// listener is a net.Listener of connections in memory.
type listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newListener() *listener { return &listener{conns: make(chan net.Conn), done: make(chan struct{})} }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// front is a server on lanes, with a connection of a caller.
type front struct {
	*Listener
	server *http.Server
	base   *listener
	caller net.Conn
	reader *bufio.Reader
}

func newFront(t *testing.T, h http.HandlerFunc) *front {
	f := &front{base: newListener()}
	f.Listener = NewListener(Config{Base: f.base, Clock: clockwork.NewRealClock(), MaxHeaderBytes: 8 << 10, HeaderTimeout: func() time.Duration { return 3 * time.Second }})
	f.server = &http.Server{Handler: h, MaxHeaderBytes: 8 << 10, ConnState: f.TrackState, ConnContext: WithLane}
	go func() { ended(t, f.Run()) }()
	go func() { ended(t, f.server.Serve(f.Listener)) }()
	f.caller = f.connect()
	f.reader = bufio.NewReader(f.caller)
	t.Cleanup(f.stop)
	return f
}

// ended takes the end of a listener or a server.
func ended(t *testing.T, err error) {
	if !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
}

func (f *front) connect() net.Conn {
	caller, server := net.Pipe()
	f.base.conns <- server
	return caller
}

func (f *front) stop() {
	f.caller.Close()
	f.server.Close()
	f.CloseConnections()
	synctest.Wait()
}

func (f *front) say(text string) { go write(f.caller, text) }

// write sends text to a connection, or as much of it as the other end takes.
func write(w io.Writer, text string) {
	if _, err := io.WriteString(w, text); err != nil {
		return
	}
}

// answer reads the next answer.
func (f *front) answer(t *testing.T) (status int, body string) {
	t.Helper()
	r, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("no whole answer: %v", err)
	}
	return r.StatusCode, string(b)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// A clerk's page sends four look-ups on one connection before the first is answered, and each takes 300 ms.
// Served one after the other the last one comes after 1.2 s.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			write(w, r.URL.Path)
		})
		begin := time.Now()
		f.say(get("/1") + get("/2") + get("/3") + get("/4"))
		for n := range 4 {
			if _, body := f.answer(t); body != fmt.Sprintf("/%d", n+1) {
				t.Errorf("answer %d is that to %s", n+1, body)
			}
		}
		if took := time.Since(begin); took > 400*time.Millisecond {
			t.Errorf("four answers after %v", took)
		}
	})
}

// The answers to later requests are ready first, the last one at once. Each goes to its own request's place.
func TestAnswersKeepTheOrderOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(t, func(w http.ResponseWriter, r *http.Request) {
			n, err := strconv.Atoi(r.URL.Path[1:])
			if err != nil {
				t.Error(err)
			}
			time.Sleep(time.Duration(20-n) * 10 * time.Millisecond)
			write(w, strings.Repeat(r.URL.Path, 3000))
		})
		var all strings.Builder
		for n := range 20 {
			all.WriteString(get(fmt.Sprintf("/%d", n)))
		}
		f.say(all.String())
		for n := range 20 {
			path := fmt.Sprintf("/%d", n)
			if _, body := f.answer(t); body != strings.Repeat(path, 3000) {
				t.Fatalf("answer %d is another one's: %.20s", n, body)
			}
		}
	})
}

// A caller sends a deposit behind a look-up. An answer that closes the connection before the deposit's turn tells
// the caller that it was not read; had it run, it would run twice.
func TestARequestKnowsThatOthersAreAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := make(chan string, 4)
		f := newFront(t, func(w http.ResponseWriter, r *http.Request) {
			lane := FromContext(r.Context())
			if r.Method == http.MethodPost {
				if err := lane.AwaitTurn(r.Context()); err != nil {
					ran <- err.Error()
					panic(http.ErrAbortHandler)
				}
			}
			time.Sleep(100 * time.Millisecond)
			if r.Method == http.MethodGet {
				w.Header().Set("Connection", "close")
			}
			ran <- r.Method
		})
		f.say(get("/") + "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		if status, _ := f.answer(t); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		if first, second := <-ran, <-ran; first != "GET" || second != ErrConnectionEnded.Error() {
			t.Errorf("%s, %s", first, second)
		}
		if _, err := f.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("after the last answer: %v, want its end", err)
		}
	})
}

// A caller closes its connection while ten of its requests run and more wait to be read. Their work goes on and
// keeps slots from callers who still wait, as nobody reads the connection's end behind the bytes of a request.
func TestACallerThatLeavesIsNoticedAtAnyDepth(t *testing.T) {
	for _, depth := range []int{1, 2, 10, 24} {
		synctest.Test(t, func(t *testing.T) {
			var running atomic.Int32
			f := newFront(t, func(_ http.ResponseWriter, r *http.Request) {
				running.Add(1)
				defer running.Add(-1)
				<-r.Context().Done()
			})
			f.say(strings.Repeat(get("/"), depth))
			synctest.Wait()
			if n := running.Load(); n != int32(min(depth, MaxPipelined)) {
				t.Errorf("%d of %d run", n, depth)
			}
			f.caller.Close()
			time.Sleep(10 * time.Millisecond)
			if n := running.Load(); n != 0 {
				t.Errorf("depth %d: %d still run after the caller left", depth, n)
			}
		})
	}
}

// A caller sends a request that names two ends for its body. A server on the way that takes the other end sees
// another caller's request in what follows.
func TestTwoLengthsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served atomic.Int32
		f := newFront(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
		f.say("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/hidden"))
		if status, _ := f.answer(t); status != http.StatusBadRequest {
			t.Errorf("status %d", status)
		}
		if _, err := f.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%v after the refusal, want the connection's end", err)
		}
		if n := served.Load(); n != 0 {
			t.Errorf("%d requests were served", n)
		}
	})
}

// The server refuses a request for its missing host, which the parser of heads takes. What follows may be hidden
// in it and must not run.
func TestNothingRunsBehindARequestThatIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served atomic.Int32
		f := newFront(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
		f.say("GET / HTTP/1.1\r\n\r\n" + get("/hidden"))
		if status, _ := f.answer(t); status != http.StatusBadRequest {
			t.Errorf("status %d", status)
		}
		synctest.Wait()
		if n := served.Load(); n != 0 {
			t.Errorf("%d requests were served", n)
		}
	})
}

// A caller sends half a head behind a request and then nothing. The request before it is answered in full, the
// half one is refused, and the connection ends after the time that a head may take.
func TestHalfAHeadEndsTheConnectionInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(4 * time.Second)
			write(w, "late")
		})
		begin := time.Now()
		f.say(get("/") + "GET /half HTTP/1.1\r\nHo")
		if _, body := f.answer(t); body != "late" {
			t.Errorf("body %q", body)
		}
		if status, _ := f.answer(t); status != http.StatusBadRequest {
			t.Errorf("status %d for half a head", status)
		}
		if _, err := f.reader.ReadByte(); !errors.Is(err, io.EOF) || time.Since(begin) > 5*time.Second {
			t.Errorf("%v after %v", err, time.Since(begin))
		}
	})
}

// A stop finds connections that are idle, new, in a head, and under way. Only the first may be closed, and a new
// one after its grace.
func TestDrainClosesOnlyWhatIsUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(time.Second)
			}
		})
		inHead, fresh, slow := f.connect(), f.connect(), f.connect()
		defer inHead.Close()
		defer fresh.Close()
		defer slow.Close()
		f.say(get("/"))
		f.answer(t)
		go write(inHead, "GET / HT")
		go write(slow, get("/slow"))
		synctest.Wait()
		if left := f.Drain(time.Now(), time.Second); left != 3 {
			t.Errorf("%d connections are left, want those in a head, new and under way", left)
		}
		time.Sleep(1500 * time.Millisecond)
		if left := f.Drain(time.Now(), time.Second); left != 2 {
			t.Errorf("%d are left, want those in a head and with an answer that nobody reads", left)
		}
	})
}

// Many long answers wait behind a slow one. Beyond the bound requests run in their turn only.
func TestHeldAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var behind atomic.Int32
		f := newFront(t, func(w http.ResponseWriter, r *http.Request) {
			lane := FromContext(r.Context())
			if lane.EarlierPending() {
				if !lane.MayRunEarly() {
					behind.Add(1)
				}
				lane.CountBuffered(heldMost)
			}
			time.Sleep(time.Second)
		})
		f.say(get("/1") + get("/2"))
		synctest.Wait()
		f.say(get("/3"))
		for range 3 {
			f.answer(t)
		}
		if n := behind.Load(); n != 1 {
			t.Errorf("%d requests had to wait, want the third", n)
		}
		if n := f.held.Load(); n != 0 {
			t.Errorf("%d bytes count as held at the end", n)
		}
	})
}

func TestAnswerMayCloseOnlyBehindNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			lane := FromContext(r.Context())
			if lane.AwaitTurn(context.Background()) == nil && lane.MarkLast() {
				w.Header().Set("Connection", "close")
			}
			write(w, r.URL.Path)
		})
		f.say(get("/1") + get("/2"))
		for n := range 2 {
			if _, body := f.answer(t); body != fmt.Sprintf("/%d", n+1) {
				t.Errorf("answer %d: %s", n+1, body)
			}
		}
		if _, err := f.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%v, want the connection's end", err)
		}
	})
}
