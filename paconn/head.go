package paconn

import (
	"errors"
	"net"
	"net/http"
	"slices"

	"github.com/gravitational/trace"

	"papayahead/pabuffer"
	"papayahead/pahead"
	"papayahead/paheader"
)

// maxHead is how many bytes the head of a response may have.
const maxHead = 256 << 10

var (
	// ErrHeadTooLong says that the head of a response has not ended within maxHead.
	ErrHeadTooLong = errors.New("the head of the response does not end")
	// ErrTwoHeads says that the head of a response has the beginning of another one in it.
	ErrTwoHeads = errors.New("the head of the response is cut, and another follows in it")
	// ErrStatus says that a response has a status that is none (RFC 9110, section 15), is not one of HTTP/1, or switches the protocol.
	ErrStatus = errors.New("the status of the response is none")
	// ErrNoMemory says that there is no memory for the head of a response.
	ErrNoMemory = errors.New("no memory for the head of the response")
)

// headReader reads a connection, and gives out no more than a head while one is awaited. It checks and counts the head before net/http
// parses it: net/http reads a head to its end, in memory, takes names that are none, and folds lines.
type headReader struct {
	conn net.Conn
	// rest is what was read beyond the head.
	rest []byte
	// awaiting is set until the head has ended.
	awaiting bool
	scanner  pahead.Scanner
	claim    *pabuffer.Claim
}

// begin begins a head, of which buffered was read before.
func (h *headReader) begin(buffered []byte, claim *pabuffer.Claim) {
	h.rest = slices.Concat(buffered, h.rest)
	h.awaiting, h.scanner, h.claim = true, pahead.Scanner{}, claim
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if h.awaiting {
		b = b[:min(len(b), maxHead-h.scanner.Bytes)]
		if len(b) == 0 {
			return 0, ErrHeadTooLong
		}
	}
	n, err := h.next(b)
	if !h.awaiting || n == 0 {
		return n, err
	}
	used, done, fault := h.scanner.Scan(b[:n])
	if fault != nil {
		return 0, trace.Wrap(fault)
	}
	if !h.claim.GrowTo(pabuffer.Heads, h.scanner.Cost()) {
		return 0, ErrNoMemory
	}
	if h.awaiting = !done; used < n {
		h.rest = slices.Concat(b[used:n], h.rest)
	}
	return used, err
}

// next reads what is left over, or from the connection.
func (h *headReader) next(b []byte) (int, error) {
	if len(h.rest) == 0 {
		return h.conn.Read(b)
	}
	n := copy(b, h.rest)
	if h.rest = h.rest[n:]; len(h.rest) == 0 {
		h.rest = nil
	}
	return n, nil
}

// ReadHead reads the head of a response to the request. What it costs in memory is taken by claim.
func (c *Conn) ReadHead(r *http.Request, claim *pabuffer.Claim) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.head.begin(buffered, claim)
	c.reader.Reset(c.head)
	defer func() { c.head.awaiting = false }()
	response, err := http.ReadResponse(c.reader, r)
	switch {
	case err != nil:
		return nil, err
	case response.ProtoMajor != 1, response.StatusCode < http.StatusContinue, response.StatusCode > maxStatus,
		response.StatusCode == http.StatusSwitchingProtocols:
		return nil, ErrStatus
	case paheader.HasTwoHeads(response):
		return nil, ErrTwoHeads
	}
	if response.Body != http.NoBody && paheader.IsUnframed(response) {
		response.Body = &unframedBody{response.Body, c}
	}
	return response, nil
}

// maxStatus is the largest status that is one.
const maxStatus = 599
