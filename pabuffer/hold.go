package pabuffer

import (
	"errors"
	"io"
)

// ErrUsedUp means that the budget has too few bytes left for the rest of a body.
var ErrUsedUp = errors.New("budget for held bodies is used up")

// minBuffer is the size of the first buffer for a body.
const minBuffer = 4 << 10

// Hold is what the bodies of one request hold. It is not safe for concurrent use.
type Hold struct {
	// Budget is where the bytes come from, Priority the urgency of the request, 0 the most urgent.
	Budget   *Budget
	Priority int
	bytes    int64
	// first is what was taken as Connections.
	first int64
}

// Read reads a body of up to most bytes, or one byte more if it is longer. It takes each buffer before it is made. If the budget is
// used up, it returns what was read by then and ErrUsedUp; the reader continues after that.
func (h *Hold) Read(r io.Reader, most int) ([]byte, error) {
	var b []byte
	had := h.first
	for {
		if len(b) == cap(b) {
			if len(b) > most {
				return b, nil
			}
			size := min(max(minBuffer, 2*cap(b)), most+1)
			if !h.takeBuffer(size) {
				return b, ErrUsedUp
			}
			grown := make([]byte, len(b), size)
			copy(grown, b)
			if cap(b) == minBuffer && h.first > had {
				h.putBackFirst()
			} else {
				h.putBack(cap(b))
			}
			b = grown
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// takeBuffer takes a buffer. One of the least size is found while there is any room: an ordinary body needs no more.
func (h *Hold) takeBuffer(size int) bool {
	if size > minBuffer || h.first > 0 {
		return h.take(size)
	}
	if !h.Budget.Take(Connections, int64(size)) {
		return false
	}
	h.first = int64(size)
	return true
}

// Release returns what the bodies held; they must not be used afterwards.
func (h *Hold) Release() {
	h.putBack(int(h.bytes))
	h.putBackFirst()
}

func (h *Hold) putBackFirst() {
	h.Budget.PutBack(Connections, h.first)
	h.first = 0
}

func (h *Hold) take(n int) bool {
	if !h.Budget.take(int64(n), h.Priority) {
		return false
	}
	h.bytes += int64(n)
	return true
}

func (h *Hold) putBack(n int) {
	h.bytes -= int64(n)
	h.Budget.PutBack(Bodies, int64(n))
}
