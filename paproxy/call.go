package paproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paevent"
	"papayahead/pawire"
)

// peerCall is a request forwarded to a peer, at the entry VM that forwards it. It occupies one
// connection.
type peerCall struct {
	peers *PeerClient
	to    Forward
	x     *exchange
	conn  *peerConn
	id    string
	sent  time.Time

	stream   pawire.DRPCForwarding_ForwardClient
	cancel   context.CancelCauseFunc
	body     *bodyReader
	bodyOnce sync.Once
	end      *pawire.ForwardEnd
}

// peerError is the failure of a forwarded request before its response was complete.
type peerError struct {
	error
	reason Reason
	fault  Fault
}

func peerLostError(err error) peerError {
	return peerError{unexpectedEOF(err), ReasonPeerLost, FaultPeer}
}

func peerProtocolError(err error) peerError { return peerError{err, ReasonPeerProtocol, FaultPeer} }

// run makes the call and returns once the response's header has arrived.
func (c *peerCall) run(ctx context.Context) (*response, Result) {
	callCtx, cancel := context.WithCancelCause(ctx)
	c.cancel = cancel
	stream, err := pawire.NewDRPCForwardingClient(c.conn).Forward(callCtx)
	if err != nil {
		// The call's first frame has not been sent, and the peer starts nothing without it.
		c.abort()
		return nil, Result{Outcome: NotRun, Reason: ReasonPeerLost, Fault: FaultPeer}
	}
	c.stream = stream
	h, err := c.open(ctx)
	if err != nil {
		return nil, c.resolveLost(ctx, err)
	}
	if h == nil {
		return nil, c.endResult(ctx)
	}
	return c.newResponse(h), Result{Status: int(h.GetStatus())}
}

// open sends the first frame and receives frames up to the response's header. It returns nil
// without an error if the peer ended the call without a response.
func (c *peerCall) open(ctx context.Context) (*pawire.ForwardHead, error) {
	left := c.x.request.Deadline.Sub(c.peers.Clock.Now())
	left -= min(left/4, maxDeadlineMargin)
	silence := c.peers.Clock.AfterFunc(orDefault(c.peers.AcceptTimeout, DefaultAcceptTimeout), func() { c.cancel(errSilent) })
	defer silence.Stop()
	open := newForwardOpen(c.x, c.to, c.id, c.peers.Self, left)
	open.Stamp = c.peers.Stamps.NextText()
	if err := c.stream.Send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_Open{Open: open}}); err != nil {
		return nil, peerLostError(err)
	}
	for {
		f, err := c.stream.Recv()
		if err != nil {
			return nil, peerLostError(err)
		}
		switch s := f.GetStep().(type) {
		case *pawire.ForwardFrame_Accepted:
			silence.Stop()
		case *pawire.ForwardFrame_Continue:
			c.startBody(ctx)
		case *pawire.ForwardFrame_Head:
			if s.Head.GetStatus() >= http.StatusOK {
				return s.Head, nil
			}
			c.x.writeInterim(int(s.Head.GetStatus()), fromFields(s.Head.GetHeader()))
		case *pawire.ForwardFrame_End:
			c.peers.Stamps.ReceiveText(s.End.GetStamp())
			c.end = s.End
			return nil, nil
		default:
			return nil, peerProtocolError(trace.BadParameter("unexpected frame before the response"))
		}
	}
}

// startBody starts to send the request's body, concurrently with receiving the response.
func (c *peerCall) startBody(ctx context.Context) {
	if c.x.body == nil {
		return
	}
	c.bodyOnce.Do(func() {
		c.body = c.x.body.newReader()
		pace := c.x.newPacer(ctx, flowTo(c.x, c.to.Entry, true))
		go func() {
			if err := c.sendBody(pace); err != nil {
				// The peer must not mistake the part it received for the whole body.
				c.cancel(err)
			}
		}()
	})
}

// sendBody sends the request's body and its trailer.
func (c *peerCall) sendBody(pace func(int) error) error {
	chunk := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(chunk)
	var offset int64
	for {
		n, err := c.body.Read(chunk[:])
		if n > 0 {
			if err := pace(n); err != nil {
				return err
			}
			body := &pawire.ForwardBody{Offset: offset, Data: chunk[:n]}
			if err := c.stream.Send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_Body{Body: body}}); err != nil {
				return ignoreEnd(err)
			}
			offset += int64(n)
		}
		if err == io.EOF {
			end := &pawire.ForwardBodyEnd{Length: offset}
			if c.x.trailer != nil {
				end.Trailer = toFields(c.x.trailer())
			}
			return ignoreEnd(c.stream.Send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_BodyEnd{BodyEnd: end}}))
		}
		if err != nil {
			return ignoreClosed(err)
		}
	}
}

// ignoreEnd drops the error of a send after the peer has already ended the call.
func ignoreEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// ignoreClosed drops the error of a body that was closed because its call has ended.
func ignoreClosed(err error) error {
	if errors.Is(err, errBodyClosed) {
		return nil
	}
	return err
}

// resolveLost returns the result of a call that failed without a response. It asks the peer whether
// the call started, and keeps it from starting if it did not.
func (c *peerCall) resolveLost(ctx context.Context, err error) Result {
	c.abort()
	r := Result{Outcome: Unknown, Reason: ReasonPeerLost, Fault: FaultPeer}
	var peer peerError
	if errors.As(err, &peer) {
		r.Reason, r.Fault = peer.reason, peer.fault
	}
	switch {
	case c.x.bodyError() != nil:
		r.Reason, r.Fault = ReasonCallerGone, FaultCaller
		return r
	case ctx.Err() != nil:
		r.Reason, r.Fault = contextEndReason(ctx)
		if r.Fault == FaultCaller {
			return r
		}
	}
	r.Outcome = c.peers.fence(ctx, c.to, c.id, c.sent)
	record(c.peers.Events, paevent.CallLost{
		Subject: eventSubject(c.x.request), Call: c.id, Peer: string(c.to.Entry), Outcome: r.Outcome.String(),
	})
	return r
}

// endResult returns the result that the peer reported for a call without a response.
func (c *peerCall) endResult(ctx context.Context) Result {
	c.finish(true)
	e := c.end
	r := Result{
		Outcome: Unknown, Reason: Reason(e.GetReason()), Fault: Fault(e.GetFault()),
		Draining:   e.GetDraining(),
		RetryAfter: time.Duration(max(e.GetComeBackMicroseconds(), 0)) * time.Microsecond,
	}
	if Outcome(e.GetOutcome()) == NotRun {
		r.Outcome = NotRun
	}
	if r.Fault == FaultRefused {
		// The refusal is the peer's decision; the Placer here may find another target or entry VM.
		r.Fault = FaultShed
	}
	if ctx.Err() != nil {
		r.Reason, r.Fault = contextEndReason(ctx)
	}
	return r
}

// newResponse returns the response whose body is received from the peer.
func (c *peerCall) newResponse(h *pawire.ForwardHead) *response {
	declared := h.GetLength()
	if bodiless(c.x.request.Method, int(h.GetStatus())) {
		declared = 0
	}
	body := &frameReader{checker: chunkChecker{declared: declared}, next: c.next, checkEnd: c.checkEnd}
	return &response{
		responseHead: responseHead{
			status: int(h.GetStatus()), header: fromFields(h.GetHeader()),
			length: h.GetLength(), trailerNames: h.GetTrailer(),
		},
		body:    body,
		peer:    c.to.Entry,
		trailer: func() http.Header { return fromFields(c.end.GetTrailer()) },
		close:   func() { c.finish(body.err == io.EOF) },
	}
}

// next returns the next frame of the response.
func (c *peerCall) next() (*pawire.ForwardFrame, error) {
	f, err := c.stream.Recv()
	if err != nil {
		return nil, peerLostError(err)
	}
	c.peers.Stamps.ReceiveText(f.GetEnd().GetStamp())
	return f, nil
}

// checkEnd checks the frame that follows the response's body.
func (c *peerCall) checkEnd(f *pawire.ForwardFrame, checker *chunkChecker) error {
	e := f.GetEnd()
	if e == nil {
		return peerProtocolError(trace.BadParameter("unexpected frame in the response body"))
	}
	c.end = e
	if Outcome(e.GetOutcome()) != Answered {
		return peerError{
			trace.ConnectionProblem(nil, "the peer ended the response before its body was complete"),
			Reason(e.GetReason()), Fault(e.GetFault()),
		}
	}
	if err := checker.end(e.GetLength()); err != nil {
		return peerProtocolError(err)
	}
	return io.EOF
}

// finish returns the connection to the pool if the call is complete on both sides, and closes it
// otherwise.
func (c *peerCall) finish(complete bool) {
	c.body.stop()
	bodyUnread := c.body != nil && !c.end.GetBodyTaken()
	if !complete || bodyUnread || c.stream.CloseSend() != nil {
		c.abort()
		return
	}
	if _, err := c.stream.Recv(); !errors.Is(err, io.EOF) {
		c.abort()
		return
	}
	if c.stream.Close() != nil {
		c.abort()
		return
	}
	c.cancel(nil)
	c.peers.put(c.conn)
}

// abort closes the connection, so that no later call reads the rest of this one.
func (c *peerCall) abort() {
	c.body.stop()
	c.cancel(nil)
	c.conn.discard()
}

// bodiless reports whether a response has no body, whatever Content-Length it declares.
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
