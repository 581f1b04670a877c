package paport

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// Config configures a Listener.
type Config struct {
	Base  net.Listener
	Clock clockwork.Clock
	// MakeRoom is called before Accept waits after an error, to close connections that are not in use; it may be nil.
	MakeRoom func()
	// OnError is called with each error of Accept but the one that ends it; it may be nil.
	OnError func(err error)
}

// Listener is a net.Listener that accepts again after an error until it is closed.
//
// Accept fails while the process or the VM has no descriptor or memory left. A server that ends at such an error leaves its port
// open: clients connect, and get no response until the process ends.
type Listener struct {
	config Config
	closed chan struct{}
	close  sync.Once
	// failing is the latest time during which Accept failed.
	mutex   sync.Mutex
	failing struct{ since, until time.Time }
}

// acceptRetryInterval is the time between two attempts to accept a connection.
const acceptRetryInterval = 50 * time.Millisecond

// failureGap is how long after an error Accept counts as failing. Later it waits for a connection, which may take as long as it likes.
const failureGap = 4 * acceptRetryInterval

// NewListener returns a Listener on c.Base.
func NewListener(c Config) *Listener { return &Listener{config: c, closed: make(chan struct{})} }

// Accept returns the next connection. It fails with net.ErrClosed once the Listener or its base is closed, and with nothing else.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.config.Base.Accept()
		if err == nil {
			return c, nil
		}
		if l.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		l.noteFailure()
		if l.config.OnError != nil {
			l.config.OnError(err)
		}
		if l.config.MakeRoom != nil {
			l.config.MakeRoom()
		}
		select {
		case <-l.config.Clock.After(acceptRetryInterval):
		case <-l.closed:
		}
	}
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *Listener) noteFailure() {
	now := l.config.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.failing.until) > failureGap {
		l.failing.since = now
	}
	l.failing.until = now
}

// FailingFor returns for how long Accept has been failing; 0 if it is not.
func (l *Listener) FailingFor(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.failing.until) > failureGap {
		return 0
	}
	return now.Sub(l.failing.since)
}

// Close closes the base listener and ends Accept.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.config.Base.Close()
}

// Addr returns the address of the base listener.
func (l *Listener) Addr() net.Addr { return l.config.Base.Addr() }

// SyscallConn returns access to the socket of the base listener, if it has one.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	if s, ok := l.config.Base.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
