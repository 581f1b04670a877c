package paconn

import (
	"errors"
	"net/http"

	"github.com/gravitational/trace"

	"papayahead/pabuffer"
	"papayahead/paheader"
)

var (
	// ErrTwoHeads says that the head of a response has the beginning of another one in it.
	ErrTwoHeads = errors.New("the head of the response is cut, and another follows in it")
	// ErrStatus says that a response has a status that is none (RFC 9110, section 15), is not one of HTTP/1, or switches the protocol.
	ErrStatus = errors.New("the status of the response is none")
)

// ReadHead reads the head of a response to the request. What it costs in memory is taken by claim.
func (c *Conn) ReadHead(r *http.Request, claim *pabuffer.Claim) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.head.Await(buffered, claim)
	c.reader.Reset(c.head)
	defer c.head.End()
	response, err := http.ReadResponse(c.reader, r)
	switch {
	case err != nil:
		return nil, err
	case response.ProtoMajor != 1, !paheader.IsStatus(response.StatusCode), response.StatusCode == http.StatusSwitchingProtocols:
		return nil, ErrStatus
	case paheader.HasTwoHeads(response):
		return nil, ErrTwoHeads
	}
	if response.Body != http.NoBody && paheader.IsUnframed(response) {
		response.Body = &unframedBody{response.Body, c}
	}
	return response, nil
}
