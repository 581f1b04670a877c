package pagate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"papayahead/paconn"
	"papayahead/paroute"
)

// cutConn is a connection to a target that answers a request with some bytes, and then ends with an error.
type cutConn struct {
	net.Conn
	answer io.Reader
	end    error
}

func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.answer.Read(b)
	if err != nil {
		return n, c.end
	}
	return n, nil
}

func (c *cutConn) Write(b []byte) (int, error)       { return len(b), nil }
func (c *cutConn) Close() error                      { return nil }
func (c *cutConn) SetDeadline(time.Time) error       { return nil }
func (c *cutConn) SetReadDeadline(t time.Time) error { return nil }

// cutAnswer is what a client gets of an answer.
type cutAnswer struct {
	status int
	stamp  string
	body   string
	length string
}

const cutID = "the-request"

// cutExchange returns a gate with a request that must run once.
func cutExchange(method string) (*Gate, *exchange) {
	g := bufferGate(false)
	g.config.Headers = Headers{RequestID: "X-Request-Id", NotExecuted: "X-Not-Executed", Instance: "X-Instance-Id", Load: "X-Server-Load"}
	q := httptest.NewRequest(method, "/", http.NoBody)
	q.Header.Set(g.config.Headers.RequestID, cutID)
	x := g.newExchange(q)
	x.route, x.deadline = &paroute.Route{Name: "r"}, time.Now().Add(time.Minute)
	return g, x
}

// cutPool returns a pool of connections that send some bytes and then end.
func (g *Gate) cutPool(bytes string, end error) *paconn.Pool {
	return g.newPool(func(context.Context, string, string) (net.Conn, error) {
		return &cutConn{answer: strings.NewReader(bytes), end: end}, nil
	}, 0)
}

// answerOf returns what the client of a request gets if its target sends some bytes and then ends the connection, and whether it takes
// that for a whole answer.
func answerOf(method, bytes string, end error) (a cutAnswer, whole bool) {
	g, x := cutExchange(method)
	g.conns = g.cutPool(bytes, end)
	r := g.send(context.Background(), x, earlyChoice)
	if r.reply == nil {
		return cutAnswer{}, false
	}
	front, client := net.Pipe()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { g.writeReply(w, x, r) })}
	l := &oneConn{conn: front, closed: make(chan struct{})}
	go server.Serve(l) //nolint:errcheck // It ends with the listener.
	defer server.Close()
	defer client.Close()
	q := httptest.NewRequest(method, "/", http.NoBody)
	go q.Write(client) //nolint:errcheck // The response tells.
	got, err := http.ReadResponse(bufio.NewReader(client), q)
	if err != nil {
		return cutAnswer{}, false
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return cutAnswer{
		status: got.StatusCode, stamp: got.Header.Get("X-Server-Stamp"), body: string(body), length: got.Header.Get("Content-Length"),
	}, err == nil
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn   net.Conn
	closed chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *oneConn) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// named returns an answer with the headers of a target besides; a line of framing may come first or last.
func named(status, first, last, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + first + "X-Request-Id: " + cutID + "\r\nX-Server-Stamp: stamp\r\nX-Server-Load: 1,0,3\r\n" + last + "\r\n" + body
}

const (
	cutBody  = "the whole body"
	longTail = 300 << 10
)

// Guards against an answer that its target cut anywhere and that looks whole to the client: in its head, in a length, in a chunk's size, in
// a trailer or in its body.
func TestAnswerThatIsCutAnywhereLooksWholeNowhere(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", longTail/16)
	chunks := "3\r\nthe\r\nb;x=y\r\n whole body\r\n0\r\n"
	for name, answer := range map[string]string{
		"length first":             named("200 OK", "Content-Length: 14\r\n", "", cutBody),
		"length last":              named("200 OK", "", "Content-Length: 14\r\n", cutBody),
		"bare line feeds":          strings.ReplaceAll(named("200 OK", "", "Content-Length: 14\r\n", cutBody), "\r\n", "\n"),
		"chunks":                   named("200 OK", "", "Transfer-Encoding: chunked\r\n", chunks+"\r\n"),
		"chunks and trailers":      named("200 OK", "", "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n", chunks+"X-T: 12\r\n\r\n"),
		"after 100 and 103":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + named("200 OK", "", "Content-Length: 14\r\n", cutBody),
		"folded":                   named("200 OK", "X-Fold: a\r\n b\r\n", "Content-Length: 14\r\n", cutBody),
		"a failure":                named("500 Internal Server Error", "", "Content-Length: 14\r\n", cutBody),
		"closed by its target":     named("200 OK", "Connection: close\r\n", "Content-Length: 14\r\n", cutBody),
		"long, with a length":      named("200 OK", "", fmt.Sprintf("Content-Length: %d\r\n", len(long)), long),
		"long, in chunks":          named("200 OK", "", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long)),
		"empty, in no chunk":       named("200 OK", "", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
		"without a length":         named("200 OK", "", "", cutBody),
		"long, without a length":   named("200 OK", "", "", long),
		"without a length, HTTP/1": strings.Replace(named("200 OK", "", "", cutBody), "HTTP/1.1", "HTTP/1.0", 1),
	} {
		unframed := strings.Contains(name, "without a length")
		head := strings.LastIndex(answer, "\r\n\r\n") + len("\r\n\r\n")
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			want, whole := answerOf(http.MethodPost, answer, end)
			if isWhole := whole && want.status != 0; isWhole != (!unframed || end == io.EOF) {
				t.Errorf("%s, not cut, end %v: %+.60v %v", name, end, want, whole)
			}
			for cut := range answer {
				if len(answer) > 10<<10 && cut > 400 && cut < len(answer)-20 && cut%7919 != 0 {
					continue
				}
				if unframed && cut >= head && end == io.EOF {
					continue // The end of the connection is that of the answer.
				}
				if got, whole := answerOf(http.MethodPost, answer[:cut], end); whole {
					t.Errorf("%s, cut at byte %d, end %v: %+.60v", name, cut, end, got)
				}
			}
		}
	}
}

// Guards against the head of an answer that another one was cut before, on the same connection: its client gets the answer itself, or
// a failure, and not the status of one answer with the rest of the other.
func TestAnswerAfterOneThatIsCutIsItselfOrNone(t *testing.T) {
	whole := named("200 OK", "", "Content-Length: 14\r\n", cutBody)
	another := func(answer string) string { return strings.ReplaceAll(answer, cutID, "another") }
	for name, copied := range map[string]string{
		"a rejection":             named("503 Service Unavailable", "X-Not-Executed: 1\r\n", "Content-Length: 0\r\n", ""),
		"a failure":               named("500 Internal Server Error", "", "Content-Length: 4\r\n", ""),
		"a success":               named("200 OK", "", "Content-Length: 5\r\n", ""),
		"chunks":                  named("200 OK", "", "Transfer-Encoding: chunked\r\n", ""),
		"another's rejection":     another(named("503 X", "X-Not-Executed: 1\r\n", "Content-Length: 0\r\n", "")),
		"another's, the ID last":  "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nServer: a\r\nContent-Length: 0\r\nX-Request-Id: another\r\n\r\n",
		"another's success":       another(named("200 OK", "Content-Length: 5\r\n", "", "other")),
		"another's, in chunks":    another(named("200 OK", "Transfer-Encoding: chunked\r\n", "", "5\r\nother\r\n0\r\n\r\n")),
		"another's, with a value": "HTTP/1.1 500 X\r\nServer: a\r\nX-Server-Stamp: other\r\nX-Request-Id: another\r\nContent-Length: 0\r\n\r\n",
		"an interim response":     "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
	} {
		for cut := range copied {
			got, isWhole := answerOf(http.MethodPost, copied[:cut]+whole, io.EOF)
			isOwnFailure := got.status == http.StatusBadGateway && got.stamp == ""
			if isWhole && !isOwnFailure && (got.status != 200 || got.stamp != "stamp" || got.body != cutBody) {
				t.Errorf("after %s, cut at byte %d (%q): %+v", name, cut, copied[max(0, cut-20):cut], got)
			}
		}
	}
}

// Guards against a relay's refusal, or answer, that is cut anywhere and believed: the relay may have sent the request.
func TestRelaysAnswerThatIsCutProvesNothing(t *testing.T) {
	said := func(status, relay, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nPapaya-Relay: %s\r\nContent-Length: %d\r\n\r\n%s", status, cutID, relay, len(body), body)
	}
	play := func(bytes string, end error) (attemptResult, *exchange) {
		g, x := cutExchange(http.MethodPost)
		a := &attempt{gate: g, x: x, choice: earlyChoice, relayCall: "{}", startedAt: time.Now()}
		return a.sendOn(context.Background(), g.cutPool(bytes, end)), x
	}
	for name, answer := range map[string]string{
		"a refusal":      said("503 Service Unavailable", `{"Outcome":"NotRun","Reason":"Full"}`, "Full"),
		"a loss":         said("502 Bad Gateway", `{"Outcome":"Unknown","Reason":"TargetLost"}`, "TargetLost"),
		"an answer":      said("200 OK", `{"Outcome":"Answered","Target":"t"}`, cutBody),
		"another's head": "HTTP/1.1 503 X\r\nServer: " + said("200 OK", `{"Outcome":"NotRun"}`, "Full"),
	} {
		head := strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			for cut := range answer {
				r, x := play(answer[:cut], end)
				if r.reply != nil {
					t.Errorf("%s, cut at byte %d, end %v: %+v", name, cut, end, r.reply)
				}
				if isRefusal := name == "a refusal" && cut >= head; r.proof.Proved() != isRefusal || x.sends.Close().Proved() != isRefusal {
					t.Errorf("%s, cut at byte %d, end %v: proof %v", name, cut, end, r.proof.Proved())
				}
			}
		}
	}
}
