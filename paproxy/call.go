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
func (k *peerCall) run(ctx context.Context) (*response, Result) {
	callCtx, cancel := context.WithCancelCause(ctx)
	k.cancel = cancel
	stream, err := pawire.NewDRPCForwardingClient(k.conn).Forward(callCtx)
	if err != nil {
		// The call's first frame has not been sent, and the peer starts nothing without it.
		k.abort()
		return nil, Result{Outcome: NotRun, Reason: ReasonPeerLost, Fault: FaultPeer}
	}
	k.stream = stream
	h, err := k.open(ctx)
	if err != nil {
		return nil, k.resolveLost(ctx, err)
	}
	if h == nil {
		return nil, k.endResult(ctx)
	}
	return k.newResponse(h), Result{Status: int(h.GetStatus())}
}

// open sends the first frame and receives frames up to the response's header. It returns nil
// without an error if the peer ended the call without a response.
func (k *peerCall) open(ctx context.Context) (*pawire.ForwardHead, error) {
	left := k.x.request.Deadline.Sub(k.peers.Clock.Now())
	left -= min(left/4, maxDeadlineMargin)
	silence := k.peers.Clock.AfterFunc(orDefault(k.peers.AcceptTimeout, DefaultAcceptTimeout), func() { k.cancel(errSilent) })
	defer silence.Stop()
	open := openOf(k.x, k.to, k.id, k.peers.Self, left)
	open.Stamp = k.peers.Stamps.Text()
	if err := k.stream.Send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_Open{Open: open}}); err != nil {
		return nil, peerLostError(err)
	}
	for {
		f, err := k.stream.Recv()
		if err != nil {
			return nil, peerLostError(err)
		}
		switch s := f.GetStep().(type) {
		case *pawire.ForwardFrame_Accepted:
			silence.Stop()
		case *pawire.ForwardFrame_Continue:
			k.startBody(ctx)
		case *pawire.ForwardFrame_Head:
			if s.Head.GetStatus() >= http.StatusOK {
				return s.Head, nil
			}
			k.x.writeInterim(int(s.Head.GetStatus()), headerOf(s.Head.GetHeader()))
		case *pawire.ForwardFrame_End:
			k.peers.Stamps.Heard(s.End.GetStamp())
			k.end = s.End
			return nil, nil
		default:
			return nil, peerProtocolError(trace.BadParameter("unexpected frame before the answer"))
		}
	}
}

// startBody starts to send the request's body, concurrently with receiving the response.
func (k *peerCall) startBody(ctx context.Context) {
	if k.x.body == nil {
		return
	}
	k.bodyOnce.Do(func() {
		k.body = k.x.body.newReader()
		pace := k.x.newPacer(ctx, flowTo(k.x, k.to.Entry, true))
		go func() {
			if err := k.sendBody(pace); err != nil {
				// The peer must not mistake the part it received for the whole body.
				k.cancel(err)
			}
		}()
	})
}

// sendBody sends the request's body and its trailer.
func (k *peerCall) sendBody(pace func(int) error) error {
	chunk := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(chunk)
	var offset int64
	for {
		n, err := k.body.Read(chunk[:])
		if n > 0 {
			if err := pace(n); err != nil {
				return err
			}
			piece := &pawire.ForwardBody{Offset: offset, Data: chunk[:n]}
			if err := k.stream.Send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_Body{Body: piece}}); err != nil {
				return ignoreEnd(err)
			}
			offset += int64(n)
		}
		if err == io.EOF {
			end := &pawire.ForwardBodyEnd{Length: offset}
			if k.x.trailer != nil {
				end.Trailer = fieldsOf(k.x.trailer())
			}
			return ignoreEnd(k.stream.Send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_BodyEnd{BodyEnd: end}}))
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
func (k *peerCall) resolveLost(ctx context.Context, err error) Result {
	k.abort()
	r := Result{Outcome: Unknown, Reason: ReasonPeerLost, Fault: FaultPeer}
	var peer peerError
	if errors.As(err, &peer) {
		r.Reason, r.Fault = peer.reason, peer.fault
	}
	switch {
	case k.x.bodyError() != nil:
		r.Reason, r.Fault = ReasonCallerGone, FaultCaller
		return r
	case ctx.Err() != nil:
		r.Reason, r.Fault = contextEndReason(ctx)
		if r.Fault == FaultCaller {
			return r
		}
	}
	r.Outcome = k.peers.fence(ctx, k.to, k.id, k.sent)
	record(k.peers.Events, paevent.CallLost{
		Subject: eventSubject(k.x.request), Call: k.id, Peer: string(k.to.Entry), Outcome: r.Outcome.String(),
	})
	return r
}

// endResult returns the result that the peer reported for a call without a response.
func (k *peerCall) endResult(ctx context.Context) Result {
	k.finish(true)
	e := k.end
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
func (k *peerCall) newResponse(h *pawire.ForwardHead) *response {
	declared := h.GetLength()
	if bodiless(k.x.request.Method, int(h.GetStatus())) {
		declared = 0
	}
	body := &frameReader{pieces: chunkChecker{declared: declared}, next: k.next, checkEnd: k.checkEnd}
	return &response{
		responseHead: responseHead{
			status: int(h.GetStatus()), header: headerOf(h.GetHeader()),
			length: h.GetLength(), trailerNames: h.GetTrailer(),
		},
		body:    body,
		peer:    k.to.Entry,
		trailer: func() http.Header { return headerOf(k.end.GetTrailer()) },
		close:   func() { k.finish(body.err == io.EOF) },
	}
}

// next returns the next frame of the response.
func (k *peerCall) next() (*pawire.ForwardFrame, error) {
	f, err := k.stream.Recv()
	if err != nil {
		return nil, peerLostError(err)
	}
	k.peers.Stamps.Heard(f.GetEnd().GetStamp())
	return f, nil
}

// checkEnd checks the frame that follows the response's body.
func (k *peerCall) checkEnd(f *pawire.ForwardFrame, p *chunkChecker) error {
	e := f.GetEnd()
	if e == nil {
		return peerProtocolError(trace.BadParameter("unexpected frame in the answer's body"))
	}
	k.end = e
	if Outcome(e.GetOutcome()) != Answered {
		return peerError{trace.ConnectionProblem(nil, "the peer's answer was cut"), Reason(e.GetReason()), Fault(e.GetFault())}
	}
	if err := p.end(e.GetLength()); err != nil {
		return peerProtocolError(err)
	}
	return io.EOF
}

// finish returns the connection to the pool if the call is complete on both sides, and closes it
// otherwise.
func (k *peerCall) finish(whole bool) {
	k.body.stop()
	untaken := k.body != nil && !k.end.GetBodyTaken()
	if !whole || untaken || k.stream.CloseSend() != nil {
		k.abort()
		return
	}
	if _, err := k.stream.Recv(); !errors.Is(err, io.EOF) {
		k.abort()
		return
	}
	if k.stream.Close() != nil {
		k.abort()
		return
	}
	k.cancel(nil)
	k.peers.put(k.conn)
}

// abort closes the connection, so that no later call reads the rest of this one.
func (k *peerCall) abort() {
	k.body.stop()
	k.cancel(nil)
	k.conn.discard()
}

// bodiless reports whether a response has no body, whatever Content-Length it declares.
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
