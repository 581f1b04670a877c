package paconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"papayahead/pabuffer"
	"papayahead/pahead"
)

// connected returns a connection to a target, and the target's end of it.
func connected(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	target, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Close() })
	c := &Conn{Conn: client, head: &pahead.Reader{Source: client}, room: &Room{}}
	c.reader = bufio.NewReaderSize(c.head, connBufferSize)
	return c, target.(*net.TCPConn)
}

// Guards against bytes that are lost, or taken for another response's, where a head ends in the middle of what has arrived.
func TestHeadsThatArriveTogether(t *testing.T) {
	all := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\nrest"
	for piece := 1; piece < len(all); piece += 3 {
		c, target := connected(t)
		go func() {
			for at := 0; at < len(all); at += piece {
				if _, err := io.WriteString(target, all[at:min(len(all), at+piece)]); err != nil {
					return
				}
			}
		}()
		for _, want := range []struct {
			status int
			body   string
		}{{100, ""}, {200, "one"}, {201, "two"}} {
			r, err := c.ReadHead(&http.Request{Method: http.MethodGet}, &pabuffer.Claim{}) //nolint:bodyclose // It has nothing to close.
			if err != nil {
				t.Fatal(err)
			}
			b, err := io.ReadAll(r.Body)
			if err != nil || r.StatusCode != want.status || string(b) != want.body {
				t.Fatalf("by %d: status %d, %q, %v", piece, r.StatusCode, b, err)
			}
		}
		rest := make([]byte, len("rest"))
		if _, err := io.ReadFull(c.reader, rest); err != nil || string(rest) != "rest" || c.HasUnread() {
			t.Fatalf("by %d: %q is left, %v", piece, rest, err)
		}
	}
}

// Guards against heads of targets that end the process by what their lines cost.
func TestHeadWithoutRoom(t *testing.T) {
	c, target := connected(t)
	budget := &pabuffer.Budget{}
	budget.SetMemory(1)
	claim := pabuffer.Claim{Budget: budget}
	go func() {
		for _, err := io.WriteString(target, "HTTP/1.1 200 OK\r\n"); err == nil; {
			_, err = io.WriteString(target, "a:\r\nb:\r\nc:\r\n")
		}
	}()
	_, err := c.ReadHead(&http.Request{Method: http.MethodGet}, &claim) //nolint:bodyclose // It fails.
	if !errors.Is(err, pahead.ErrNoMemory) || budget.Held() == 0 {
		t.Errorf("%v, %d bytes held", err, budget.Held())
	}
	if claim.Release(); budget.Held() != 0 {
		t.Errorf("%d bytes held after the end", budget.Held())
	}
}
