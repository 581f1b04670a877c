package paport

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// Cap is a net.Listener that closes further connections while Max are open, and those that send nothing at first. It is for a port whose
// server bounds neither.
type Cap struct {
	net.Listener
	Clock clockwork.Clock
	// Max is how many connections may be open; 0 is no bound.
	Max int
	// FirstByte is how long a new connection may take to send its first byte; 0 is no bound.
	FirstByte time.Duration

	open atomic.Int64
}

// Accept returns the next connection for which there is room.
func (l *Cap) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		capped := &cappedConn{Conn: c, listener: l}
		if l.open.Add(1) > int64(l.Max) && l.Max > 0 {
			_ = capped.Close() // Nothing was read of it.
			continue
		}
		if l.FirstByte > 0 {
			capped.silent.Store(l.Clock.AfterFunc(l.FirstByte, func() { _ = capped.Close() }))
		}
		return capped, nil
	}
}

// Open returns how many connections are open.
func (l *Cap) Open() int { return int(l.open.Load()) }

// cappedConn is a connection of a Cap. silent closes it, until its first byte was read.
type cappedConn struct {
	net.Conn
	listener *Cap
	silent   atomic.Value
	close    sync.Once
}

// Read reads from the connection. The time of what follows the first bytes is for the server to bound.
func (c *cappedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.endSilence()
	}
	return n, err
}

func (c *cappedConn) endSilence() {
	if t, ok := c.silent.Load().(clockwork.Timer); ok {
		t.Stop()
	}
}

// Close closes the connection.
func (c *cappedConn) Close() error {
	c.close.Do(func() {
		c.listener.open.Add(-1)
		c.endSilence()
	})
	return c.Conn.Close()
}

// SyscallConn returns access to the socket of the listener, if it has one.
func (l *Cap) SyscallConn() (syscall.RawConn, error) {
	if s, ok := l.Listener.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
