package paconn

import (
	"bufio"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"papayahead/pahead"
	"papayahead/pasocket"
)

// idleMargin is how much sooner than the target an idle connection is closed, so that no request crosses the target's close.
const idleMargin = 1500 * time.Millisecond

// Conn is a connection to one run of a target.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// head bounds and checks what reader reads of the head of a response.
	head *pahead.Reader
	// writing is how many writes are in progress, writeFailed whether one has failed.
	writing     atomic.Int32
	writeFailed atomic.Bool
	address     netip.AddrPort
	target      string
	born        int64
	// Opened is when the connection was opened.
	Opened time.Time
	// lastUsed is when it last became idle.
	lastUsed time.Time
	// idleLimit is how long the connection may be idle.
	idleLimit time.Duration
	// Reused says that it was idle before.
	Reused bool
	// OpenedFor is why it was opened for a request.
	OpenedFor OpenReason
	carried   carriedRequests
	// room counts the connection until it is closed.
	room      *Room
	closeOnce sync.Once
}

// Close closes the connection.
func (c *Conn) Close() {
	c.closeOnce.Do(func() { c.room.open.Add(-1) })
	c.Conn.Close()
}

// OpenReason is why a connection was opened although others may have been idle.
type OpenReason string

const (
	// OpenNoIdle means that none was idle.
	OpenNoIdle OpenReason = "NoIdle"
	// OpenIdleForOnce means that it was idle for too long to carry a request that must run once.
	OpenIdleForOnce OpenReason = "IdleForOnce"
	// OpenIdleTooLong means that it was idle for too long.
	OpenIdleTooLong OpenReason = "IdleTooLong"
	// OpenCarried means that each idle one has carried the request before.
	OpenCarried OpenReason = "CarriedBefore"
	// OpenClosed means that the target had closed it, or sent what nobody asked for.
	OpenClosed OpenReason = "Closed"
	// OpenRestarted means that it led to an earlier run of the target.
	OpenRestarted OpenReason = "Restarted"
)

// OpenReasons has all reasons.
var OpenReasons = []OpenReason{OpenNoIdle, OpenIdleForOnce, OpenIdleTooLong, OpenClosed, OpenRestarted, OpenCarried}

// unusableFor returns why an idle connection cannot carry a request to a run of a target; empty if it can.
func (c *Conn) unusableFor(target string, born int64, idle, maxIdle time.Duration) OpenReason {
	switch {
	case c.target != target || c.born != born:
		return OpenRestarted
	case idle >= c.idleLimit:
		return OpenIdleTooLong
	case idle >= maxIdle:
		return OpenIdleForOnce
	case !c.isQuiet():
		return OpenClosed
	}
	return ""
}

// LimitIdle bounds how long the connection is kept idle by the timeout that the target announced.
func (c *Conn) LimitIdle(timeout time.Duration) {
	c.idleLimit = max(0, min(MaxIdle, timeout-idleMargin))
}

// HasUnread reports whether bytes have arrived that nobody has read.
func (c *Conn) HasUnread() bool { return c.reader.Buffered() > 0 || c.head.HasRest() }

// RemembersAll reports whether the connection remembers all requests that it has carried and that may be sent again. If not, it must
// carry no other.
func (c *Conn) RemembersAll(now time.Time) bool { return c.carried.forgetExpired(now) }

// isQuiet reports whether nothing has arrived on the idle connection, neither bytes nor EOF. Bytes after a complete
// response belong to no request, and would be taken for the next response.
func (c *Conn) isQuiet() bool {
	return !c.HasUnread() && pasocket.NothingToRead(c.Conn)
}
