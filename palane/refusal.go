package palane

import (
	"fmt"
	"net/http"
)

// Refusal is why a request is refused before the server gets it. None of it was passed on, nor will be.
type Refusal string

const (
	// NoRoom means that there is no memory for the request.
	NoRoom Refusal = "NoRoom"
	// HeadTooLong means that the head is longer than clients may send. It has not been read to its end.
	HeadTooLong Refusal = "HeadTooLong"
	// Incomplete means that the client stopped in the middle of the head for longer than the header timeout, or ended its input there.
	Incomplete Refusal = "Incomplete"
)

// status returns the status of the response to a refused request.
func (r Refusal) status() int {
	switch r {
	case NoRoom:
		return http.StatusServiceUnavailable
	case HeadTooLong:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusBadRequest
}

// Response returns a response with a status that closes its connection, with further header lines, each with its end.
func (r Refusal) Response(lines, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\n\r\n%s",
		r.status(), http.StatusText(r.status()), lines, body)
}

// refuse answers the request that arrives in place of the server, after the responses to those before it. It takes no lane, so that it
// needs no memory.
func (c *conn) refuse(why Refusal) {
	c.claim.Release()
	c.recorder.recorded = nil
	if !c.waitUntil(func() bool { return len(c.inFlight) == 0 }) {
		return
	}
	response := why.Response("", fmt.Sprintf("%d %s", why.status(), http.StatusText(why.status())))
	if c.listener.config.Refuse != nil {
		response = c.listener.config.Refuse(why)
	}
	if err := c.raw.SetWriteDeadline(c.listener.config.Clock.Now().Add(refusedTimeout)); err != nil {
		return
	}
	if _, err := c.raw.Write(response); err != nil {
		c.raw.Close()
	}
}

// Refused reports whether there is no room for the connection, so that its request is to be refused. It carries no other.
func (l *Lane) Refused() bool { return l != nil && l.conn.refused }
