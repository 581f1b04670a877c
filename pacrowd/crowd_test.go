package pacrowd

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdTime is how long a crowd sends, holdTime how long each of its connections stays open after it has sent.
	crowdTime = 3 * time.Second
	holdTime  = 1500 * time.Millisecond
)

// crowd is many clients that all do the same.
type crowd struct {
	to    netip.AddrPort
	conns int
	// begin is sent once, repeat after it until the connection is closed; either may be empty. pause is the time after each repeat.
	begin, repeat []byte
	pause         time.Duration
	// unread says that nothing is read of what comes back, resets that connections are reset rather than closed.
	unread, resets bool
	hold           time.Duration
}

// run has the crowd send for crowdTime: whoever is closed, or has held its connection, comes again.
func (c crowd) run() {
	end := time.Now().Add(crowdTime)
	var all sync.WaitGroup
	for range c.conns {
		all.Go(func() {
			for time.Now().Before(end) {
				c.connect(end)
			}
		})
	}
	all.Wait()
}

// connect is one connection of the crowd.
func (c crowd) connect(end time.Time) {
	conn, err := net.DialTimeout("tcp", c.to.String(), time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer conn.Close()
	if c.resets {
		defer func() { _ = conn.(*net.TCPConn).SetLinger(0) }()
	}
	hold := c.hold
	if hold == 0 {
		hold = holdTime
	}
	_ = conn.SetDeadline(end.Add(hold))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if !c.unread {
			_, _ = io.Copy(io.Discard, conn)
		}
	}()
	_, err = conn.Write(c.begin)
	for len(c.repeat) > 0 && err == nil && time.Now().Before(end) {
		if _, err = conn.Write(c.repeat); c.pause > 0 {
			time.Sleep(c.pause)
		}
	}
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	if c.unread {
		time.Sleep(hold)
		return
	}
	select {
	case <-ended:
	case <-time.After(hold):
	}
}

// nameBytes are the bytes of the names of distinct header lines, alike in no case.
const nameBytes = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// shortLines returns header lines of the least length with distinct names, of a number of bytes in all.
func shortLines(size int) string {
	var b strings.Builder
	b.Grow(size)
	for i := 0; b.Len() < size-len("aaa:\n"); i++ {
		n := len(nameBytes)
		b.WriteByte(nameBytes[i/n/n%n])
		b.WriteByte(nameBytes[i/n%n])
		b.WriteByte(nameBytes[i%n])
		b.WriteString(":\n")
	}
	return b.String()
}

// sameLines returns header lines of the least length with one name, of a number of bytes in all.
func sameLines(size int) string { return strings.Repeat("a:\n", size/len("a:\n")) }

// apart lets a test run only if it was asked for.
func apart(t *testing.T) {
	t.Helper()
	if !*runCrowds {
		t.Skip("needs -crowd: runs apart from other load")
	}
}
