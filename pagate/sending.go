package pagate

import "net/http"

// bodySending is the sending of a request's body to a target while its response is read. Until done it is the only reader of the
// client's body: net/http must not discard the rest of it before the response, or the target gets a body with a hole.
type bodySending struct {
	// done is closed at the end; err is why the request was not sent completely.
	done chan struct{}
	err  error
}

// running reports whether the body is still being sent; a nil bodySending is not running.
func (s *bodySending) running() bool {
	if s == nil {
		return false
	}
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// sendsOn reports whether the rest of the request's body is sent to the target after its response: the target took the request, and
// the end of the response can be told without returning from the handler.
func (p *reply) sendsOn(x *exchange) bool {
	return x.sending.running() && p.done != nil && p.status < http.StatusMultipleChoices && (p.rest == nil || p.length >= 0)
}

// bodyBeside reports whether the response may begin before the request's body is read to its end: a part of it is sent on as it arrives,
// or the request is refused unread.
func (x *exchange) bodyBeside() bool { return x.unbuffered != nil || x.unread }

// bodyLeft reports whether a part of the request's body is still to be read from the client.
func (x *exchange) bodyLeft() bool {
	return x.bodyBeside() && (x.sending == nil || x.sending.running() || x.sending.err != nil)
}

// beginBeside prepares a response that begins before the request's body is read to its end. net/http would read on before the response,
// and hold it back from a client that sends no more until it has one. Unless the sending goes on, the connection is closed after the
// response: what is left of the body must not pass for a request.
func (g *Gate) beginBeside(w http.ResponseWriter, x *exchange, goesOn bool) {
	if !x.bodyLeft() {
		return
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		panic("pagate: read a request beside its response: " + err.Error())
	}
	if !goesOn && x.lane.MarkLast() {
		w.Header().Set("Connection", "close")
		x.cutsBody = x.lane != nil
	}
}

// awaitSent waits until the body has been sent or cannot be. It returns false if the rest would come too late.
func (g *Gate) awaitSent(x *exchange) bool {
	left := x.deadline.Add(deadlineSlack).Sub(g.config.Clock.Now())
	select {
	case <-x.sending.done:
		return true
	case <-g.config.Clock.After(left):
	case <-g.requestsCtx.Done():
	}
	return false
}

// endBody ends the reading of the body, whose connection to a target is closed, after the response was written.
func (g *Gate) endBody(w http.ResponseWriter, x *exchange) {
	if x.cutsBody {
		c := http.NewResponseController(w)
		if c.Flush() != nil || c.SetReadDeadline(g.config.Clock.Now()) != nil {
			panic(http.ErrAbortHandler) // The client is gone.
		}
	}
	if x.sending != nil {
		// On a connection with further requests the whole body has arrived, so that nothing is awaited; another entry VM closes its
		// connection, which must not be reset before, once it has the response.
		<-x.sending.done
	}
}
