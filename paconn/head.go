package paconn

import (
	"errors"
	"io"
	"net/http"

	"papayahead/paheader"
)

// maxHead is how many bytes the head of a response may have.
const maxHead = 256 << 10

// ErrHeadTooLong says that the head of a response has not ended within maxHead.
var ErrHeadTooLong = errors.New("the head of the response does not end")

// headBound bounds what is read from a connection while the head of a response is awaited. net/http reads a head to its end, in memory.
type headBound struct {
	io.Reader
	// reading is set while a head is read, of which left more bytes may come.
	reading bool
	left    int
}

// Read implements io.Reader.
func (h *headBound) Read(b []byte) (int, error) {
	if !h.reading {
		return h.Reader.Read(b)
	}
	if h.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := h.Reader.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}

// ErrTwoHeads says that the head of a response has the beginning of another one in it.
var ErrTwoHeads = errors.New("the head of the response is cut, and another follows in it")

// ReadHead reads the head of a response to the request.
func (c *Conn) ReadHead(r *http.Request) (*http.Response, error) {
	c.head.reading, c.head.left = true, maxHead
	defer func() { c.head.reading = false }()
	response, err := http.ReadResponse(c.reader, r)
	if err == nil && paheader.HasTwoHeads(response) {
		return nil, ErrTwoHeads
	}
	return response, err
}
