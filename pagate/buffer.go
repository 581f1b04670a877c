package pagate

import (
	"errors"
	"io"
	"net/http"
	"time"

	"papayahead/pabuffer"
	"papayahead/paroute"
)

const (
	// retryAfterBuffersFull applies when there is no room for the request's body; bodies are held for about a run.
	retryAfterBuffersFull = 300 * time.Millisecond
	// unreadSlack is how long after its deadline a caller may still send its body, or read its response.
	unreadSlack = 2 * time.Second
	// restBuffer is the size of the buffer for the rest of a response that is not held.
	restBuffer = 4 << 10
)

// hold reads up to maxBuffered bytes of a body into memory, or one more if it is longer. With pabuffer.ErrUsedUp it returns what there
// was room for.
func (g *Gate) hold(x *exchange, body io.Reader) ([]byte, error) {
	if !g.memory.budget.IsBounded() {
		return io.ReadAll(io.LimitReader(body, maxBuffered+1))
	}
	b, err := x.hold.Read(body, maxBuffered)
	if errors.Is(err, pabuffer.ErrUsedUp) {
		g.makeRoom()
	}
	return b, err
}

// readClientBody is readBody for a request of a client. What is held of a body must not stay until its client ends the connection: it
// is awaited as long as a response would be of use.
func (g *Gate) readClientBody(w http.ResponseWriter, x *exchange, r *http.Request, l paroute.Limits) (status int, reason string) {
	if !g.memory.budget.IsBounded() || r.ContentLength == 0 {
		return g.readBody(x, r, l)
	}
	c := http.NewResponseController(w)
	if err := c.SetReadDeadline(g.deadlineOf(x, r).Add(unreadSlack)); err != nil {
		return http.StatusBadRequest, reasonBadBody
	}
	status, reason = g.readBody(x, r, l)
	if err := c.SetReadDeadline(time.Time{}); err != nil && status == 0 {
		return http.StatusBadRequest, reasonBadBody
	}
	return status, reason
}

// refuseBody responds to a request whose body was not read to its end.
func (g *Gate) refuseBody(w http.ResponseWriter, x *exchange, status int, reason string) {
	switch status {
	case http.StatusServiceUnavailable:
		g.refuse(w, x, reason, retryAfterBuffersFull)
	case http.StatusRequestTimeout:
		g.writeOwn(w, x, status, reason, x.sends.Close())
	default:
		g.writeError(w, x, status, reason)
	}
}

// boundUnread closes the client's connection if the response is not read some time after the request's deadline, until the returned
// function is called. What is held of it must not stay until the client ends the connection.
func (g *Gate) boundUnread(x *exchange) (done func()) {
	if !g.memory.budget.IsBounded() || x.lane == nil {
		return func() {}
	}
	left := max(0, x.deadline.Sub(g.config.Clock.Now())) + unreadSlack
	t := g.config.Clock.AfterFunc(left, x.lane.Abort)
	return func() { t.Stop() }
}

// copyRest passes on the rest of a response that is not held.
func (g *Gate) copyRest(w io.Writer, r io.Reader) error {
	if !g.memory.budget.IsBounded() {
		_, err := io.Copy(w, r)
		return err
	}
	// A writer or reader that copies by itself would use a longer buffer.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, make([]byte, restBuffer))
	return err
}
