package palane

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/textproto"

	"papayahead/pahead"
)

var (
	// errHeadTooLong reports a head that is longer than clients may send, errNoRoom that there is no memory for the request.
	errHeadTooLong = errors.New("request head is too long")
	errNoRoom      = errors.New("no memory for the request")
)

// recordingReader records what it reads from a connection. It first reads a head, and then serves it to a parser, with the bytes that
// follow one by one: the parser never reads ahead, so that the exact end of a request is known.
type recordingReader struct {
	source *bufio.Reader
	// scanner finds the end of the head; complete says that it did.
	scanner  pahead.Scanner
	complete bool
	// recorded is what was read since the beginning of the head or since reset, of which the parser has got served bytes.
	recorded []byte
	served   int
	// failed says that source has failed.
	failed bool
}

// begin begins a head.
func (t *recordingReader) begin() {
	t.scanner, t.complete = pahead.Scanner{Request: true}, false
	t.reset()
}

// reset discards the recorded bytes.
func (t *recordingReader) reset() { t.recorded, t.served = t.recorded[:0], 0 }

// shrink returns the memory of a long head.
func (t *recordingReader) shrink() {
	if cap(t.recorded) > readBufferSize {
		t.recorded, t.served = nil, 0
	}
}

// scan reads what has arrived of the head, waiting for the first byte. done says that the head has ended.
func (t *recordingReader) scan() (n int, done bool, err error) {
	if _, err := t.source.Peek(1); err != nil {
		t.failed = true
		return 0, false, err
	}
	b, err := t.source.Peek(t.source.Buffered())
	if err != nil {
		return 0, false, err
	}
	n, t.complete, err = t.scanner.Scan(b)
	t.recorded = append(t.recorded, b[:n]...)
	if _, err := t.source.Discard(n); err != nil {
		return n, false, err
	}
	return n, t.complete, err
}

// Read reads what is recorded of the head, and then one byte. It fails with the error of source.
func (t *recordingReader) Read(p []byte) (int, error) {
	if t.served < len(t.recorded) {
		n := copy(p, t.recorded[t.served:])
		t.served += n
		return n, nil
	}
	b, err := t.source.ReadByte()
	if err != nil {
		t.failed = true
		return 0, err
	}
	t.recorded = append(t.recorded, b)
	t.served++
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
