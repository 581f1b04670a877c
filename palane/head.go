package palane

import (
	"bufio"
	"errors"
	"sync"
	"time"

	"papayahead/pabuffer"
)

// headerReaders pools the header parser's buffers, which a connection needs only while a header arrives.
var headerReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// readHead reads a request's head, whose bytes are then in the recorder, within the header timeout. It takes what the head costs while it
// arrives, and fails once that finds no room, or the head is too long or none.
func (c *conn) readHead() error {
	c.recorder.begin()
	limit := c.listener.maxHead()
	timed := false
	defer func() {
		c.arrival.end()
		if timed {
			c.setReadDeadline(time.Time{})
		}
	}()
	for {
		if d := c.headerTimeout(); c.reader.Buffered() == 0 && !timed {
			timed = true
			c.arrival.begin(c.listener.config.Clock.Now())
			if d > 0 {
				c.setReadDeadline(c.listener.config.Clock.Now().Add(d))
			}
		}
		n, done, err := c.recorder.scan()
		switch {
		case err != nil:
			return err
		case c.recorder.scanner.Bytes > limit+lineEnd:
			return errHeadTooLong
		case !c.claim.GrowTo(pabuffer.Heads, c.recorder.scanner.Cost()):
			c.listener.lacksMemory()
			return errNoRoom
		case done:
			return c.recorder.scanner.Fault
		}
		c.arrival.progress(n, c.listener.config.Clock.Now)
	}
}

// lineEnd is the length of the empty line at the end of a head, which does not count toward its limit.
const lineEnd = 2

func (c *conn) headerTimeout() time.Duration {
	if c.refused {
		return refusedTimeout
	}
	if c.listener.config.HeaderTimeout == nil {
		return 0
	}
	return c.listener.config.HeaderTimeout()
}

// reject rejects the request that arrives, by why it was not read. Nothing more is read after it.
func (c *conn) reject(why error) {
	switch {
	case errors.Is(why, ErrConnectionEnded):
	case errors.Is(why, errHeadTooLong):
		c.refuse(HeadTooLong)
	case errors.Is(why, errNoRoom):
		c.refuse(NoRoom)
	case c.recorder.failed:
		c.refuse(Incomplete)
	case why == nil:
		c.forwardMalformed([]byte(invalidRequest))
	default:
		c.forwardMalformed(c.recorder.recorded)
	}
}

// forwardMalformed passes what is no request to the server, which rejects it and closes the connection.
func (c *conn) forwardMalformed(input []byte) {
	lane, err := c.assignLane(true)
	if err != nil {
		c.refuse(NoRoom)
		return
	}
	lane.feed(input)
}
