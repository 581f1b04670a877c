package paproxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"papayahead/paclock"
	"papayahead/paevent"
	"papayahead/pawire"
)

var _ pawire.DRPCForwardingServer = (*Proxy)(nil)

// PeerServer serves DRPC to other entry VMs, with messages of limited size.
type PeerServer struct {
	// Handler is the mux with the Forwarding service and the other services for entry VMs.
	Handler drpc.Handler
}

// Serve accepts connections until the context is cancelled. That ends all calls too, so a graceful
// shutdown must wait for calls in flight before it cancels the context. Serve returns after all
// calls have ended, with an error if the listener failed.
func (s *PeerServer) Serve(ctx context.Context, l net.Listener) error {
	server := drpcserver.NewWithOptions(s.Handler, drpcserver.Options{Manager: managerOptions()})
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		c, err := l.Accept()
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		conns.Go(func() {
			// The error of a connection that the peer closed is of no interest.
			_ = server.ServeOne(context.WithValue(ctx, peerConnKey{}, c), c)
			c.Close()
		})
	}
}

// Fence reports to a peer whether a call it lost was started, and keeps the call from starting.
func (p *Proxy) Fence(_ context.Context, q *pawire.FenceRequest) (*pawire.FenceReply, error) {
	age := time.Duration(q.GetAgeMicroseconds()) * time.Microsecond
	reply := &pawire.FenceReply{}
	state := p.Calls.Fence(q.GetCall(), q.GetIncarnation(), age)
	record(p.Events, paevent.CallFenced{Call: q.GetCall(), State: state.String()})
	switch state {
	case FenceNever:
		reply.State = pawire.FenceState_FENCE_STATE_NEVER
	case FenceStarted:
		reply.State = pawire.FenceState_FENCE_STATE_STARTED
	case FenceUnknown:
		reply.State = pawire.FenceState_FENCE_STATE_UNKNOWN
	}
	return reply, nil
}

// Forward handles a request from another entry VM.
func (p *Proxy) Forward(stream pawire.DRPCForwarding_ForwardStream) error {
	first, err := stream.Recv()
	if err != nil {
		return trace.Wrap(err)
	}
	open := first.GetOpen()
	p.Stamps.ReceiveText(open.GetStamp())
	x, err := exchangeFromOpen(open, p.Clock.Now())
	if err != nil {
		return trace.Wrap(err)
	}
	out := &peerResponder{stream: stream, stamps: p.Stamps}
	if open.GetIncarnation() != 0 && open.GetIncarnation() != p.Calls.Incarnation {
		out.refuse(refusal{outcome: NotRun, reason: ReasonIncarnation, result: Result{Fault: FaultPeer}})
		return nil
	}
	if !p.Calls.Accept(open.GetCall()) {
		// Fenced or a duplicate: this copy doesn't run, but an earlier one may have run.
		out.refuse(refusal{outcome: Unknown, reason: ReasonFenced, result: Result{Fault: FaultPeer}})
		return nil
	}
	defer p.Calls.End(open.GetCall())
	return p.serveForwarded(stream, open.GetCall(), x, out)
}

// serveForwarded handles an accepted call to its end.
func (p *Proxy) serveForwarded(stream pawire.DRPCForwarding_ForwardStream, id string, x *exchange, out *peerResponder) error {
	accepted := &pawire.ForwardFrame{Step: &pawire.ForwardFrame_Accepted{Accepted: &pawire.ForwardAccepted{}}}
	if err := stream.Send(accepted); err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := paclock.WithTimeout(stream.Context(), p.Clock, x.request.Deadline.Sub(p.Clock.Now()))
	defer cancel()
	x.writeInterim = out.writeInterim
	x.tryStart = func() bool { return p.beforeDeadline(ctx, x) && p.Calls.Start(id) }
	if x.request.Size != 0 {
		b := p.receiveBody(ctx, out, x)
		defer x.body.finish()
		defer b.stop()
	}
	p.reportEnd(x.request, p.handle(ctx, x, out))
	return out.sendError
}

// peerResponder writes to the origin of a forwarded request.
type peerResponder struct {
	stream    pawire.DRPCForwarding_ForwardStream
	stamps    *paevent.Stamper
	sent      int64
	sendError error
	// bodyReceived is set at the end of the request's body.
	bodyReceived atomic.Bool
}

func (w *peerResponder) send(f *pawire.ForwardFrame) error {
	err := w.stream.Send(f)
	if err != nil && w.sendError == nil {
		w.sendError = trace.Wrap(err)
	}
	return err
}

func (w *peerResponder) writeInterim(status int, h http.Header) {
	_ = w.send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_Head{Head: &pawire.ForwardHead{
		Status: int32(status), Header: toFields(h),
	}}})
}

func (w *peerResponder) writeHead(h responseHead) error {
	return w.send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_Head{Head: &pawire.ForwardHead{
		Status: int32(h.status), Header: toFields(h.header), Length: h.length, Trailer: h.trailerNames,
	}}})
}

func (w *peerResponder) write(p []byte) error {
	body := &pawire.ForwardBody{Offset: w.sent, Data: p}
	w.sent += int64(len(p))
	return w.send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_Body{Body: body}})
}

func (w *peerResponder) finish(trailer http.Header) error {
	return w.sendEnd(&pawire.ForwardEnd{Outcome: int32(Answered), Length: w.sent, Trailer: toFields(trailer)})
}

func (w *peerResponder) abort(r Result) {
	_ = w.sendEnd(&pawire.ForwardEnd{
		Outcome: int32(Unknown), Length: w.sent, Reason: string(r.Reason), Fault: string(r.Fault), Draining: r.Draining,
	})
}

func (w *peerResponder) refuse(r refusal) {
	_ = w.sendEnd(&pawire.ForwardEnd{
		Outcome: int32(r.outcome), Reason: string(r.reason), Fault: string(r.result.Fault),
		ComeBackMicroseconds: r.retryAfter.Microseconds(), Draining: r.result.Draining,
	})
}

func (w *peerResponder) sendEnd(e *pawire.ForwardEnd) error {
	e.BodyTaken = w.bodyReceived.Load()
	e.Stamp = w.stamps.NextText()
	return w.send(&pawire.ForwardFrame{Step: &pawire.ForwardFrame_End{End: e}})
}

// interrupt closes the connection. A peer that stops reading would otherwise hold the target's slot
// until the kernel times the connection out, after about 15 minutes.
func (w *peerResponder) interrupt() {
	if c := peerConnFrom(w.stream.Context()); c != nil {
		c.Close()
	}
}
