package palane

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pabuffer"
)

// newMemoryServer returns a server with a budget of a memory limit in megabytes, and a limit on heads of 8 KB.
func newMemoryServer(t *testing.T, megabytes float64, h http.HandlerFunc) (*testServer, *pabuffer.Budget) {
	budget := &pabuffer.Budget{}
	budget.SetMemory(megabytes)
	s := &testServer{base: newPipeListener()}
	var server *Server
	server = NewServer(Config{
		Base: s.base, Clock: clockwork.NewRealClock(), MaxHeaderBytes: 64 << 10, Memory: budget, MaxHead: func() int { return 8 << 10 },
		HeaderTimeout: func() time.Duration { return 10 * time.Second }, LacksMemory: func() { server.MakeRoom() },
	}, h)
	s.Listener, s.server = server.Listener, server.HTTP
	go func() { checkStopped(t, server.Run()) }()
	s.client = s.connect()
	s.reader = bufio.NewReader(s.client)
	t.Cleanup(s.stop)
	return s, budget
}

// exchangeStatus sends a head on a new connection and returns the status of the response, 0 if there is none.
func exchangeStatus(t *testing.T, s *testServer, text string) int {
	t.Helper()
	c := s.connect()
	defer c.Close()
	go write(c, text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	return r.StatusCode
}

// Guards against a head over the limit that is read on, and against one within it that is refused for the number of its lines.
func TestHeadsOverTheLimitEndWhileTheyArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, budget := newMemoryServer(t, 64, func(http.ResponseWriter, *http.Request) {})
		const begin, end = "GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"
		lines := strings.Repeat("a:\n", (8<<10-len(begin))/len("a:\n"))
		if status := exchangeStatus(t, s, begin+lines+end); status != http.StatusOK {
			t.Errorf("a head of 8 KB with %d lines: status %d", strings.Count(lines, "\n"), status)
		}
		if status := exchangeStatus(t, s, begin+lines+"abcdef: 1\r\n"); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("a longer one without its end: status %d", status)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		s.CloseUnused(10)
		s.client.Close()
		synctest.Wait()
		if held := budget.Held(); held != 0 {
			t.Errorf("%d bytes are held after the end", held)
		}
	})
}

// Clients that stop short of the end of heads of many lines use up the room for heads. An ordinary request is served all the while, a
// further long head is refused at once, and finds room again once those that stopped are closed, long before their timeout.
func TestStalledHeadsGiveTheirRoomBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newMemoryServer(t, 16, func(http.ResponseWriter, *http.Request) {})
		long := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 1500)
		var stalled []net.Conn
		for range 4 {
			c := s.connect()
			defer c.Close()
			stalled = append(stalled, c)
			go write(c, long)
		}
		synctest.Wait()
		if status := exchangeStatus(t, s, long+"\r\n"); status != http.StatusServiceUnavailable {
			t.Errorf("a further long head: status %d", status)
		}
		if status := exchangeStatus(t, s, get("/")); status != http.StatusOK {
			t.Errorf("an ordinary request: status %d", status)
		}
		time.Sleep(2 * time.Second)
		exchangeStatus(t, s, long+"\r\n")
		synctest.Wait()
		if status := exchangeStatus(t, s, long+"\r\n"); status != http.StatusOK {
			t.Errorf("a long head after 2 s: status %d", status)
		}
		closed := 0
		for _, c := range stalled {
			if err := c.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
				closed++ // The other end of the pipe is closed.
			}
		}
		if closed == 0 {
			t.Error("none of the clients that stopped was closed")
		}
	})
}

// A target that does not read a body must not have its client taken for one that has stopped.
func TestBodyThatNobodyReadsIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		read := make(chan struct{})
		s, _ := newMemoryServer(t, 64, func(_ http.ResponseWriter, r *http.Request) {
			<-read
			if n, err := io.Copy(io.Discard, r.Body); n != 200<<10 || err != nil {
				t.Errorf("%d bytes, %v", n, err)
			}
		})
		s.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 204800\r\n\r\n" + strings.Repeat("x", 200<<10))
		time.Sleep(5 * time.Second)
		if n := s.CloseStalled(10); n != 0 {
			t.Errorf("%d connections were closed", n)
		}
		close(read)
		if status, _ := s.readResponse(t); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	})
}

// A client sends a byte now and then: it counts as one that has stopped.
func TestArrivalOfSingleBytesIsNoProgress(t *testing.T) {
	now := time.Unix(1000, 0)
	var a arrival
	a.begin(now)
	for range 100 {
		now = now.Add(time.Second)
		a.progress(1, func() time.Time { return now })
	}
	if since := time.Unix(0, a.since.Load()); since != time.Unix(1000, 0) {
		t.Errorf("awaited since %v", since)
	}
	a.progress(progressUnit, func() time.Time { return now })
	if since := time.Unix(0, a.since.Load()); !since.Equal(now) {
		t.Errorf("awaited since %v", since)
	}
}

// timerClock counts the timers that wait.
type timerClock struct {
	clockwork.Clock
	waiting atomic.Int32
}

type countedTimer struct {
	clockwork.Timer
	clock *timerClock
}

func (c *timerClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	c.waiting.Add(1)
	return &countedTimer{c.Clock.AfterFunc(d, f), c}
}

func (t *countedTimer) Stop() bool {
	stopped := t.Timer.Stop()
	if stopped {
		t.clock.waiting.Add(-1)
	}
	return stopped
}

// Guards against connections that are gone but stay in memory until the timer of their lingering ends: clients that come and go leave
// thousands of them.
func TestLingeringEndsWithTheConnection(t *testing.T) {
	t.Run("the client leaves first", func(t *testing.T) { lingerOnce(t, func() {}) })
	t.Run("the server ends first", func(t *testing.T) { lingerOnce(t, synctest.Wait) })
}

// lingerOnce has a client close its connection after the last response, and after beforeClose.
func lingerOnce(t *testing.T, beforeClose func()) {
	synctest.Test(t, func(t *testing.T) {
		clock := &timerClock{Clock: clockwork.NewRealClock()}
		base := newPipeListener()
		server := NewServer(Config{Base: base, Clock: clock}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		go func() { checkStopped(t, server.Run()) }()
		client, served := net.Pipe()
		base.conns <- &halfCloser{served}
		go write(client, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil { //nolint:bodyclose // The connection ends.
			t.Error(err)
		}
		beforeClose()
		client.Close()
		synctest.Wait()
		if conns, timers := len(server.connections()), clock.waiting.Load(); conns != 0 || timers != 0 {
			t.Errorf("%d connections and %d timers are left", conns, timers)
		}
		server.Close()
	})
}

// halfCloser is a connection whose write side can be closed, of which nothing comes.
type halfCloser struct{ net.Conn }

func (c *halfCloser) CloseWrite() error { return nil }

// The requests of a connection are served one after the other where the server asks for it.
func TestSerial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, most := 0, 0
		s := &testServer{base: newPipeListener()}
		server := NewServer(Config{Base: s.base, Clock: clockwork.NewRealClock(), Serial: true}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			running++
			most = max(most, running)
			time.Sleep(time.Second)
			running--
		}))
		s.Listener, s.server = server.Listener, server.HTTP
		go func() { checkStopped(t, server.Run()) }()
		s.client = s.connect()
		s.reader = bufio.NewReader(s.client)
		t.Cleanup(s.stop)
		s.send(get("/1") + get("/2") + get("/3"))
		for range 3 {
			s.readResponse(t)
		}
		if most != 1 {
			t.Errorf("%d requests ran at the same time", most)
		}
	})
}

// Guards against a server whose base listener has ended, and that goes on to wait for lanes: its goroutine would never end.
func TestRunEndsWithTheBaseListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := newPipeListener()
		server := NewServer(Config{Base: base, Clock: clockwork.NewRealClock()}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		ended := make(chan error)
		go func() { ended <- server.Run() }()
		synctest.Wait()
		if err := base.Close(); err != nil {
			t.Error(err)
		}
		checkStopped(t, <-ended)
		synctest.Wait()
	})
}
