package paproxy

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/gravitational/trace"

	"papayahead/pawire"
)

// callBody is the body of a forwarded request at the owner. A separate goroutine receives the
// frames, one ahead, so that abandoning the body doesn't wait for a peer that sends nothing.
type callBody struct {
	out         *peerResponder
	frames      chan *pawire.ForwardFrame
	failed      chan error
	done        chan struct{}
	receiveOnce sync.Once
	stopOnce    sync.Once
	trailer     http.Header
}

// receiveBody sets the exchange's body to be read from the call's frames.
func (p *Proxy) receiveBody(ctx context.Context, out *peerResponder, x *exchange) *callBody {
	b := &callBody{
		out:    out,
		frames: make(chan *pawire.ForwardFrame),
		failed: make(chan error, 1),
		done:   make(chan struct{}),
	}
	limits := p.Limits.withDefaults()
	x.body = &requestBody{
		source: &frameReader{checker: chunkChecker{declared: x.request.Size}, next: b.next, checkEnd: b.checkEnd},
		clock:  p.Clock, idleTimeout: limits.BodyIdleTimeout, maxBytes: limits.MaxBody, interrupt: b.stop,
		pace: p.pacing(ctx, flowTo(x, x.request.Origin, false)),
	}
	x.trailer = func() http.Header { return b.trailer }
	return b
}

// stop makes reads fail and lets the receiving goroutine exit.
func (b *callBody) stop() { b.stopOnce.Do(func() { close(b.done) }) }

// next returns the next frame. The first call asks the origin to send the body.
func (b *callBody) next() (*pawire.ForwardFrame, error) {
	b.receiveOnce.Do(func() {
		ready := &pawire.ForwardFrame{Step: &pawire.ForwardFrame_Continue{Continue: &pawire.ForwardContinue{}}}
		_ = b.out.stream.Send(ready)
		go b.receive()
	})
	select {
	case f := <-b.frames:
		return f, nil
	case err := <-b.failed:
		return nil, err
	case <-b.done:
		return nil, errBodyClosed
	}
}

// receive passes frames to next until the body's end. It returns when the call ends at the latest.
func (b *callBody) receive() {
	for {
		f, err := b.out.stream.Recv()
		if err != nil {
			b.failed <- err
			return
		}
		select {
		case b.frames <- f:
		case <-b.done:
			return
		}
		if f.GetBodyEnd() != nil {
			return
		}
	}
}

// checkEnd checks the frame that follows the body.
func (b *callBody) checkEnd(f *pawire.ForwardFrame, c *chunkChecker) error {
	end := f.GetBodyEnd()
	if end == nil {
		return trace.BadParameter("unexpected frame in the request body")
	}
	if err := c.end(end.GetLength()); err != nil {
		return err
	}
	b.trailer = fromFields(end.GetTrailer())
	b.out.bodyReceived.Store(true)
	return io.EOF
}
