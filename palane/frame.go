package palane

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
)

// headerSlop is how many bytes beyond MaxHeaderBytes an http.Server reads before it answers 431.
const headerSlop = 4 << 10

// recordingReader reads a connection byte by byte and records the bytes. A parser on top of it never reads ahead, so
// that the exact end of a request is known.
type recordingReader struct {
	source *bufio.Reader
	// recorded is what was read since reset; limit is its maximum length, zero for none.
	recorded []byte
	limit    int
	// err is the last error of source.
	err error
	// onWait is called before a read that has to wait for the client.
	onWait func()
}

// reset discards the recorded bytes and sets a new limit.
func (t *recordingReader) reset(limit int) { t.recorded, t.limit = t.recorded[:0], limit }

// errHeaderTooLong reports a header that is longer than the server accepts.
var errHeaderTooLong = errors.New("request header is too long")

// Read reads one byte. It fails with errHeaderTooLong at the limit, otherwise with the error of source.
func (t *recordingReader) Read(p []byte) (int, error) {
	if t.limit > 0 && len(t.recorded) >= t.limit {
		return 0, errHeaderTooLong
	}
	if t.onWait != nil && t.source.Buffered() == 0 {
		t.onWait()
	}
	b, err := t.source.ReadByte()
	if err != nil {
		t.err = err
		return 0, err
	}
	t.recorded = append(t.recorded, b)
	p[0] = b
	return 1, nil
}

// boundaryCertain reports whether the server is certain to read the request up to the end that was found, and what
// follows as the next request. For other requests the response is awaited first: a client can smuggle a second
// request behind one that the server rejects.
func boundaryCertain(r *http.Request) bool {
	return r.ProtoMajor == 1 && r.ProtoMinor == 1 && r.Host != "" && len(r.TransferEncoding) == 0 &&
		r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
}

// conflictingFraming reports whether a header has both Content-Length and Transfer-Encoding.
//
// Two servers on the path can find different ends for such a request, and take the bytes that follow for another
// client's request (request smuggling). RFC 9112 lets a server reject it; http.ReadRequest accepts it and drops
// Content-Length.
func conflictingFraming(header []byte, r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(header)))
	if _, err := lines.ReadLine(); err != nil {
		return false
	}
	h, err := lines.ReadMIMEHeader()
	return err == nil && h["Content-Length"] != nil
}

// invalidRequest replaces a request that is rejected: the server answers it with 400 and closes the connection.
const invalidRequest = "-\r\n\r\n"
