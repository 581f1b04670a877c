package palane

import (
	"cmp"
	"net"
	"slices"
	"time"

	"papayahead/pasocket"
)

const (
	// roomDivisor is the divisor of MaxConns that yields how many unused connections are closed at once when there is no room. To
	// find those that have been unused for longest, all connections are looked at.
	roomDivisor = 32
	// unusedGrace is how long a connection without a request yet is not closed for lack of room: its request may be on its way.
	unusedGrace = time.Second
	// searchInterval is the time between two searches for unused connections, if the first found none.
	searchInterval = 20 * time.Millisecond
	// refusedTimeout is how long a client that is refused may take to send a request header.
	refusedTimeout = time.Second
)

// room is what a Listener did for lack of room.
type room struct {
	// closed is how many unused connections were closed, refused how many clients were refused, and dropped how many of them without
	// a response.
	closed, refused, dropped uint64
	// stalled is how many connections were closed whose clients had stopped in the middle of a request.
	stalled uint64
	// searchedAt is when the last search for unused connections found none.
	searchedAt time.Time
}

// Counts are the connections of a Listener. Closed, Refused and Dropped are totals: unused connections closed for lack of room, clients
// that were refused, and how many of these got no response. Stalled is a total too: connections closed whose clients had stopped in the
// middle of a request.
type Counts struct {
	Open                              int
	Closed, Refused, Dropped, Stalled uint64
}

// Counts returns the present counts.
func (l *Listener) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Counts{Open: len(l.conns), Closed: l.room.closed, Refused: l.room.refused, Dropped: l.room.dropped, Stalled: l.room.stalled}
}

// admit returns the client connection on an accepted connection, or nil if there is no room for it, not even to refuse it.
func (l *Listener) admit(raw net.Conn) *conn {
	l.makeRoom()
	c := newConn(l, raw)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isFull() || !l.takeConn() {
		l.room.refused++
		if l.refusing >= l.config.MaxRefusing {
			l.room.dropped++
			raw.Close()
			return nil
		}
		c.refused = true
		l.refusing++
	}
	l.conns[c] = struct{}{}
	return c
}

// isFull reports whether there is no room for a further connection. The mutex is held.
func (l *Listener) isFull() bool {
	return l.config.MaxConns > 0 && len(l.conns)-l.refusing >= l.config.MaxConns
}

// makeRoom closes some unused connections if there is no room for a further one.
func (l *Listener) makeRoom() {
	now := l.config.Clock.Now()
	l.mutex.Lock()
	search := l.isFull() && now.Sub(l.room.searchedAt) >= searchInterval
	l.mutex.Unlock()
	if search && l.CloseUnused(max(1, l.config.MaxConns/roomDivisor)) == 0 {
		l.CloseStalled(max(1, l.config.MaxConns/roomDivisor))
	}
}

// CloseUnused closes up to n connections without a request in flight or arriving, those first that have been so for longest. It frees
// their descriptors at once, and returns how many it closed.
func (l *Listener) CloseUnused(n int) (closed int) {
	now := l.config.Clock.Now()
	type unused struct {
		conn  *conn
		since time.Time
	}
	var all []unused
	for _, c := range l.connections() {
		if since, ok := c.unused(now); ok {
			all = append(all, unused{c, since})
		}
	}
	slices.SortFunc(all, func(a, b unused) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	for _, u := range all {
		if closed == n {
			break
		}
		if u.conn.closeAtOnce(now) {
			l.remove(u.conn)
			closed++
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.room.closed += uint64(closed)
	if closed == 0 {
		l.room.searchedAt = now
	}
	return closed
}

// unused returns since when the connection has had no request in flight or arriving, and whether it may be closed for lack of room.
func (c *conn) unused(now time.Time) (since time.Time, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.unusedSince, c.isUnused(now)
}

// isUnused reports whether the connection may be closed for lack of room. The mutex is held.
func (c *conn) isUnused(now time.Time) bool {
	return !c.finished && !c.refused && c.awaitingRequest && len(c.inFlight) == 0 && (c.served || now.Sub(c.unusedSince) > unusedGrace)
}

// closeAtOnce closes the connection if it may be closed for lack of room, and reports whether it did. Nothing arrived on it that a reset
// would answer, so that it need not linger.
func (c *conn) closeAtOnce(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isUnused(now) || !pasocket.NothingToRead(c.raw) {
		return false
	}
	c.finished = true
	c.disconnectLocked()
	c.raw.Close()
	return true
}
