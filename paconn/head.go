package paconn

import (
	"errors"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
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
	if err == nil && hasTwoHeads(response) {
		return nil, ErrTwoHeads
	}
	return response, err
}

// statusLine is the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// hasTwoHeads reports whether a line of the head ends in a status line.
//
// A target that breaks a response off in a line of its head, and sends another one on the connection, has sent one head by its form: the
// status of the first response, or a part of a header value, with all that follows of the second one.
func hasTwoHeads(r *http.Response) bool {
	if isTwoLines(r.Status) {
		return true
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, isTwoLines) {
			return true
		}
	}
	return false
}

// isTwoLines reports whether a line that is no status line contains one. Few contain the text that is looked for first.
func isTwoLines(line string) bool {
	return strings.Contains(line, "HTTP/1.") && statusLine.MatchString(line)
}
