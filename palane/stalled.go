package palane

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// stalledGrace is how long a client may stop in the middle of a request before it may be closed for lack of room. The packets of a
	// client that does not stop arrive within a round trip, or a second if one was lost.
	stalledGrace = time.Second
	// progressUnit is how many bytes have to arrive for a client to count as going on: one that sends a byte now and then has stopped.
	progressUnit = 1 << 10
)

// arrival tells how long the rest of a request has been awaited from the client. Only begin, progress and end are for the reader
// goroutine alone.
type arrival struct {
	// since is when progressUnit bytes had last arrived, or when the waiting began, in Unix nanoseconds; 0 if nothing is awaited.
	since atomic.Int64
	// bytes are those that have arrived since then.
	bytes int
}

// begin notes that the rest of a request is awaited.
func (a *arrival) begin(now time.Time) {
	if a.since.Load() == 0 {
		a.since.Store(now.UnixNano())
		a.bytes = 0
	}
}

// progress notes that bytes have arrived.
func (a *arrival) progress(n int, now func() time.Time) {
	if a.bytes += n; a.bytes >= progressUnit && a.since.Load() != 0 {
		a.since.Store(now().UnixNano())
		a.bytes = 0
	}
}

// end notes that nothing is awaited.
func (a *arrival) end() { a.since.Store(0) }

// CloseStalled closes up to n connections whose clients have stopped in the middle of a request, those first that did so longest ago,
// and returns how many it closed. It is for when there is no room, of connections or of memory, for clients that go on: what those that
// stopped hold comes back at once. Nothing is promised to them.
func (l *Listener) CloseStalled(n int) (closed int) {
	type stalled struct {
		conn  *conn
		since int64
	}
	var all []stalled
	latest := l.config.Clock.Now().Add(-stalledGrace).UnixNano()
	for _, c := range l.connections() {
		if since := c.arrival.since.Load(); since != 0 && since < latest {
			all = append(all, stalled{c, since})
		}
	}
	slices.SortFunc(all, func(a, b stalled) int { return cmp.Compare(a.since, b.since) })
	for _, s := range all[:min(n, len(all))] {
		s.conn.disconnect()
		s.conn.raw.Close()
		l.remove(s.conn)
		closed++
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.room.stalled += uint64(closed)
	return closed
}

// roomAtOnce is how many connections MakeRoom closes at most of each kind, roomInterval the time between two searches for them.
const (
	roomAtOnce   = 64
	roomInterval = 20 * time.Millisecond
)

// MakeRoom closes some connections without a request, and some whose clients have stopped in the middle of one, as there is no memory for
// others. They would hold theirs until their timeouts, and a crowd of them would keep all other clients out.
func (l *Listener) MakeRoom() {
	now, last := l.config.Clock.Now().UnixNano(), l.madeRoomAt.Load()
	if now-last < int64(roomInterval) || !l.madeRoomAt.CompareAndSwap(last, now) {
		return
	}
	l.CloseUnused(roomAtOnce)
	l.CloseStalled(roomAtOnce)
}
