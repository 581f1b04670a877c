package paproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
)

// rawTarget is a target whose responses are written as raw bytes, including ones that net/http
// would not send.
type rawTarget struct {
	// respond writes the response to request number n on connection number c, both from 1. The
	// connection is closed if it returns false.
	respond func(w io.Writer, r *http.Request, c, n int) bool

	address netip.AddrPort
	mutex   sync.Mutex
	seen    []string
}

// count returns how many requests with the ID arrived.
func (t *rawTarget) count(id string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := 0
	for _, s := range t.seen {
		if s == id {
			n++
		}
	}
	return n
}

func (t *rawTarget) start(tb testing.TB) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	t.address = l.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		for c := 1; ; c++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn, c)
		}
	}()
	return t
}

func (t *rawTarget) serve(conn net.Conn, c int) {
	defer conn.Close()
	b := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		t.mutex.Lock()
		t.seen = append(t.seen, r.Header.Get(RequestIDHeader))
		t.mutex.Unlock()
		if !t.respond(conn, r, c, n) {
			return
		}
	}
}

// writeResponse writes a complete response with the request ID.
func writeResponse(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", RequestIDHeader, id, len(body), body)
}
