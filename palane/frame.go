package palane

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
)

// headerSlop is how many bytes beyond MaxHeaderBytes a server of net/http takes before it answers 431.
const headerSlop = 4 << 10

// recordingReader hands out the bytes of a connection one by one and remembers them. A parser above it never reads beyond
// what it needs, so that the end of a request is known to the byte.
type recordingReader struct {
	source *bufio.Reader
	// recorded is what was read since start, most its greatest length; zero is no bound.
	recorded []byte
	limit    int
	// err is why the connection brought no more bytes.
	err error
	// onWait is called before a read that has to onWait for the caller.
	onWait func()
}

// reset forgets the bytes that were read.
func (t *recordingReader) reset(limit int) { t.recorded, t.limit = t.recorded[:0], limit }

// errHeaderTooLong says that a head is longer than the server takes.
var errHeaderTooLong = errors.New("the head of the request is too long")

// Read reads one byte.
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

// boundaryCertain says that the server certainly reads the request to the end that was found, and what follows it as the
// next one. Of other requests the answer is awaited: behind one that the server refuses, the caller may have
// hidden another one.
func boundaryCertain(r *http.Request) bool {
	return r.ProtoMajor == 1 && r.ProtoMinor == 1 && r.Host != "" && len(r.TransferEncoding) == 0 &&
		r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
}

// conflictingFraming says that a head names both a length and a coding for its body.
//
// Two servers on the way can take different ends for such a request, and the caller's next bytes for another
// caller's request. RFC 9112 lets a server refuse it; http.ReadRequest takes it and drops the length.
func conflictingFraming(head []byte, r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := lines.ReadLine(); err != nil {
		return false
	}
	h, err := lines.ReadMIMEHeader()
	return err == nil && h["Content-Length"] != nil
}

// invalidRequest stands for a request that is to be refused: the server answers 400 to it and closes.
const invalidRequest = "-\r\n\r\n"
