package pahead

import (
	"errors"
	"io"
	"slices"
	"sync"

	"papayahead/pabuffer"
)

// MaxResponse is how many bytes the head of a response may have at most.
const MaxResponse = 256 << 10

var (
	// ErrTooLong says that the head of a response has not ended within MaxResponse.
	ErrTooLong = errors.New("the head of the response does not end")
	// ErrNoMemory says that there is no memory for the head of a response.
	ErrNoMemory = errors.New("no memory for the head of the response")
)

// Reader reads a connection to a target, and gives out no more than a head while one is awaited. It checks and counts the head before
// net/http parses it: net/http reads a head to its end, in memory, takes names that are none, and folds lines.
type Reader struct {
	// Source is the connection.
	Source io.Reader
	// Interim says that a head follows the one of an interim response.
	Interim bool

	mutex sync.Mutex
	// rest is what was read beyond the head.
	rest []byte
	// awaiting is set until the head has ended.
	awaiting bool
	scanner  Scanner
	claim    *pabuffer.Claim
}

// Await begins a head, of which buffered was read before. What the head costs in memory is taken by claim.
func (r *Reader) Await(buffered []byte, claim *pabuffer.Claim) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rest = slices.Concat(buffered, r.rest)
	r.awaiting, r.scanner, r.claim = true, Scanner{}, claim
}

// End ends the awaiting of a head. The Reader keeps no reference to the claim, and so none to the request that it belongs to.
func (r *Reader) End() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.awaiting, r.claim = false, nil
}

// Release ends the awaiting of a head and returns what it has taken.
func (r *Reader) Release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.awaiting = false
	if r.claim != nil {
		r.claim.Release()
	}
}

// HasRest reports whether bytes were read that were not given out.
func (r *Reader) HasRest() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.rest) > 0
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.next(b)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.awaiting || n == 0 {
		return n, err
	}
	used, done, fault := r.scanner.Scan(b[:n])
	switch {
	case fault != nil:
		return 0, fault
	case r.scanner.Bytes > MaxResponse:
		return 0, ErrTooLong
	case !r.claim.GrowTo(pabuffer.Heads, r.scanner.Cost()):
		return 0, ErrNoMemory
	case used < n:
		r.rest = slices.Concat(b[used:n], r.rest)
	}
	if r.awaiting = !done; done && r.Interim && r.scanner.isInterim() {
		r.awaiting, r.scanner = true, Scanner{}
	}
	return used, err
}

// next reads what is left over, or from the connection.
func (r *Reader) next(b []byte) (int, error) {
	r.mutex.Lock()
	if len(r.rest) == 0 {
		r.mutex.Unlock()
		return r.Source.Read(b)
	}
	defer r.mutex.Unlock()
	n := copy(b, r.rest)
	if r.rest = r.rest[n:]; len(r.rest) == 0 {
		r.rest = nil
	}
	return n, nil
}
