package palane

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"papayahead/pabuffer"
)

// body is what is needed of a parsed request to pass its body on, and to read what follows.
type body struct {
	// length is -1 for a body in chunks, which chunks reads.
	length int64
	chunks io.Reader
	// last says that the connection is closed after the request, certain that the server finds the same end of it.
	last, certain bool
}

func bodyOf(r *http.Request) body {
	b := body{length: r.ContentLength, last: r.Close, certain: boundaryCertain(r)}
	if b.length < 0 {
		b.chunks = r.Body
	}
	return b
}

// claimBody takes what is held of a request's body on its way to the server, and reports whether there was room.
func (c *conn) claimBody(r *http.Request) bool {
	n := min(r.ContentLength, maxInput) + min(r.ContentLength, bodyBuffer)
	if n <= bodyBuffer {
		return true // It is in what the connection and the lane have taken.
	}
	return c.claim.Take(pabuffer.Bodies, n)
}

// bodyBuffers pools the buffers in which bodies are read.
var bodyBuffers = sync.Pool{New: func() any { return new([bodyBuffer]byte) }}

// forwardBody passes a request's body to its lane as it arrives, and reports whether it was passed on completely.
func (c *conn) forwardBody(lane *Lane, b body) bool {
	defer c.arrival.end()
	if b.length > 0 {
		return c.forwardBytes(lane, b.length)
	}
	if b.length == 0 {
		return true
	}
	var p [readBufferSize]byte
	for read := 0; ; {
		c.awaitBody()
		c.recorder.reset()
		_, err := b.chunks.Read(p[:])
		read += len(c.recorder.recorded)
		c.widen(lane, read)
		c.arrival.progress(len(c.recorder.recorded), c.listener.config.Clock.Now)
		if !lane.feed(c.recorder.recorded) {
			return false
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// forwardBytes passes a body of a length on.
func (c *conn) forwardBytes(lane *Lane, left int64) bool {
	buffer := bodyBuffers.Get().(*[bodyBuffer]byte)
	defer bodyBuffers.Put(buffer)
	for read := 0; left > 0; {
		c.awaitBody()
		n, err := c.reader.Read(buffer[:min(left, bodyBuffer)])
		read += n
		c.widen(lane, read)
		c.arrival.progress(n, c.listener.config.Clock.Now)
		left -= int64(n)
		if !lane.feed(buffer[:n]) || err != nil {
			return false
		}
	}
	return true
}

// awaitBody notes that more of a body is awaited from the client.
func (c *conn) awaitBody() {
	if c.reader.Buffered() == 0 {
		c.arrival.begin(c.listener.config.Clock.Now())
	}
}
