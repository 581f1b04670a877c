package paproxy

import (
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pawire"
)

// Limits on what a peer may send; a message beyond them ends the call.
const (
	// maxFrame limits a message between entry VMs, in bytes: a header and its overhead.
	maxFrame = 256 << 10
	// maxFields limits the number of values in a forwarded header.
	maxFields = 1000
)

// toFields converts a header to wire fields.
func toFields(h http.Header) []*pawire.ForwardField {
	var fields []*pawire.ForwardField
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, &pawire.ForwardField{Name: name, Value: v})
		}
	}
	return fields
}

// fromFields converts wire fields to a header with only end-to-end fields.
func fromFields(fields []*pawire.ForwardField) http.Header {
	h := http.Header{}
	for _, f := range fields[:min(len(fields), maxFields)] {
		h.Add(f.GetName(), f.GetValue())
	}
	return endToEnd(h)
}

// newForwardOpen returns the first frame of a call.
func newForwardOpen(x *exchange, to Forward, call string, origin pabundle.EntryName, left time.Duration) *pawire.ForwardOpen {
	o := &pawire.ForwardOpen{
		Call: call, Origin: string(origin), Incarnation: to.Incarnation,
		Request: string(x.request.ID), Service: string(x.request.Service), Key: x.request.Key,
		Attempt: int32(x.request.Attempt), Credit: to.Credit, Target: string(to.Target),
		LeftMicroseconds: left.Microseconds(), Method: x.request.Method, Uri: x.uri, Host: x.host,
		Header: toFields(x.header), Expect: x.expect, PatienceMicroseconds: to.MaxQueueWait.Microseconds(),
	}
	if x.body != nil {
		o.Length = x.request.Size
	}
	o.Trailer = x.trailerNames
	if x.request.Caller.IsValid() {
		o.Caller = x.request.Caller.String()
	}
	return o
}

// exchangeFromOpen validates a call's first frame and returns its exchange. The error names the
// invalid field.
func exchangeFromOpen(o *pawire.ForwardOpen, now time.Time) (*exchange, error) {
	left := o.GetLeftMicroseconds()
	switch {
	case o.GetCall() == "" || len(o.GetCall()) > 2*maxIDLength:
		return nil, trace.BadParameter("call ID of %d bytes is empty or too long", len(o.GetCall()))
	case o.GetOrigin() == "":
		return nil, trace.BadParameter("origin is missing")
	case o.GetRequest() == "" || len(o.GetRequest()) > maxIDLength || !isToken(o.GetRequest()):
		return nil, trace.BadParameter("malformed request ID")
	case len(o.GetKey()) > maxKeyLength || !isVisible(o.GetKey()):
		return nil, trace.BadParameter("malformed idempotency key")
	case left <= 0 || left > maxDeadline.Microseconds():
		return nil, trace.BadParameter("deadline of %d microseconds is out of range", left)
	case o.GetPatienceMicroseconds() < 0 || o.GetPatienceMicroseconds() > maxDeadline.Microseconds():
		return nil, trace.BadParameter("maximum queue wait of %d microseconds is out of range", o.GetPatienceMicroseconds())
	case o.GetLength() < -1:
		return nil, trace.BadParameter("invalid body length %d", o.GetLength())
	case o.GetMethod() == "" || !isToken(o.GetMethod()) || len(o.GetHeader()) > maxFields:
		return nil, trace.BadParameter("malformed method or too many header fields")
	}
	if _, err := url.ParseRequestURI(o.GetUri()); err != nil || o.GetUri()[0] != '/' {
		return nil, trace.BadParameter("malformed request URI")
	}
	caller, _ := netip.ParseAddr(o.GetCaller())
	x := &exchange{
		request: Request{
			ID: RequestID(o.GetRequest()), Service: pabundle.ServiceName(o.GetService()),
			Method: o.GetMethod(), Key: o.GetKey(), Arrived: now,
			Deadline: now.Add(time.Duration(left) * time.Microsecond),
			Size:     o.GetLength(), Caller: caller, Origin: pabundle.EntryName(o.GetOrigin()),
			Credit: o.GetCredit(), Target: pabundle.TargetName(o.GetTarget()),
			MaxQueueWait: time.Duration(o.GetPatienceMicroseconds()) * time.Microsecond,
		},
		header: fromFields(o.GetHeader()), uri: o.GetUri(), host: o.GetHost(),
		trailerNames: o.GetTrailer(), expect: o.GetExpect(),
	}
	x.header.Del("Content-Length")
	x.request.Safe, x.request.Idempotent = semantics(o.GetMethod())
	return x, nil
}

// chunkChecker checks that a body's chunks are contiguous and match its declared length.
type chunkChecker struct {
	// declared is the length announced in the header; -1 means none.
	declared int64
	count    int64
}

// add checks the next chunk.
func (c *chunkChecker) add(b *pawire.ForwardBody) error {
	n := int64(len(b.GetData()))
	if b.GetOffset() != c.count {
		return trace.BadParameter("body chunk at offset %d, expected offset %d", b.GetOffset(), c.count)
	}
	if n > chunkSize {
		return trace.BadParameter("body chunk of %d bytes is too large", n)
	}
	c.count += n
	if c.declared >= 0 && c.count > c.declared {
		return trace.BadParameter("body has at least %d bytes but declares %d", c.count, c.declared)
	}
	return nil
}

// end checks the length reported at the end.
func (c *chunkChecker) end(length int64) error {
	if c.count != length || c.declared >= 0 && c.count != c.declared {
		return trace.BadParameter("received %d body bytes; the sender reports %d and declares %d", c.count, length, c.declared)
	}
	return nil
}

// frameReader reads a body from frames. next returns the next frame; checkEnd is called with the
// first frame that is not part of the body.
type frameReader struct {
	checker chunkChecker
	next    func() (*pawire.ForwardFrame, error)
	// checkEnd checks the frame that follows the body. It returns io.EOF if the body is complete.
	checkEnd func(f *pawire.ForwardFrame, c *chunkChecker) error
	unread   []byte
	err      error
}

// Read returns io.EOF only if the body is complete.
func (r *frameReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.fill()
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// fill receives the next frame.
func (r *frameReader) fill() {
	f, err := r.next()
	if err != nil {
		r.err = unexpectedEOF(err)
		return
	}
	b := f.GetBody()
	if b == nil {
		r.err = r.checkEnd(f, &r.checker)
		return
	}
	if r.err = r.checker.add(b); r.err == nil {
		r.unread = b.GetData()
	}
}

// unexpectedEOF keeps the end of a stream from being mistaken for the end of a body.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
