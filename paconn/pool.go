package paconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"papayahead/paclock"
	"papayahead/pahead"
)

const (
	// dialTimeout bounds the opening of a connection: a round trip of 70 ms between regions, a lost packet, and
	// the target's own millisecond.
	dialTimeout = 600 * time.Millisecond
	// MaxIdle is how long an idle connection is kept if the target announces no timeout.
	MaxIdle = 8 * time.Second
	// MaxIdleForOnce is how long after its last response a connection may carry a request that must not be
	// executed twice. A connection that the target or a middlebox has forgotten swallows the request without an
	// error, and it stays unknown whether it was executed; a new connection costs about a millisecond.
	MaxIdleForOnce = time.Second
	// connBufferSize is the size of a connection's buffer; responses are a few kilobytes.
	connBufferSize = 4 << 10
)

// Room bounds the connections of several pools together. The zero value is no bound.
type Room struct {
	// Max is how many connections may be open; 0 is no bound.
	Max  int
	open atomic.Int64
}

// Open returns how many connections are open.
func (r *Room) Open() int { return int(r.open.Load()) }

// Config configures a Pool.
type Config struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the opening of a connection for a request; 0 is a default for targets.
	DialTimeout time.Duration
	Clock       clockwork.Clock
	// Room may be shared with other pools.
	Room *Room
	// FreeDescriptors closes connections of clients when the process has no descriptor left.
	FreeDescriptors func()
}

// Pool keeps idle connections to targets.
type Pool struct {
	config Config
	mutex  sync.Mutex
	idle   map[netip.AddrPort][]*Conn
}

// New returns a Pool without connections.
func New(c Config) *Pool {
	c.DialTimeout = cmp.Or(c.DialTimeout, dialTimeout)
	return &Pool{config: c, idle: map[netip.AddrPort][]*Conn{}}
}

// Use is what a connection is wanted for.
type Use struct {
	Address netip.AddrPort
	// Target and Born are the run of the target.
	Target string
	Born   int64
	// MaxIdle is how long the connection may have been idle.
	MaxIdle time.Duration
	// Request is the ID of the request, which may be sent again until Deadline.
	Request  string
	Deadline time.Time
}

// Get returns a connection for a request, which it notes as carried: one that was idle, or a new one.
func (p *Pool) Get(ctx context.Context, u Use) (*Conn, error) {
	reason := OpenNoIdle
	for {
		c, carried := p.popIdle(u)
		if c == nil && carried {
			reason = OpenCarried
		}
		if c == nil {
			break
		}
		why := c.unusableFor(u.Target, u.Born, p.config.Clock.Since(c.lastUsed), u.MaxIdle)
		if why == "" {
			c.Reused = true
			c.carried.add(u.Request, u.Deadline)
			return c, nil
		}
		reason = why
		c.Close()
	}
	c, err := p.Connect(ctx, u.Address, u.Target, u.Born, p.config.DialTimeout)
	if c != nil {
		c.OpenedFor = reason
		c.carried.add(u.Request, u.Deadline)
	}
	return c, err
}

// Connect opens a connection to a run of a target.
func (p *Pool) Connect(ctx context.Context, address netip.AddrPort, target string, born int64, timeout time.Duration) (*Conn, error) {
	ctx, cancel := paclock.WithTimeout(ctx, p.config.Clock, timeout)
	defer cancel()
	raw, err := p.dialWithRoom(ctx, address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "connect to target")
	}
	p.config.Room.open.Add(1)
	head := &pahead.Reader{Source: raw}
	return &Conn{
		Conn: raw, reader: bufio.NewReaderSize(head, connBufferSize), head: head, address: address, target: target, born: born,
		idleLimit: MaxIdle, Opened: p.config.Clock.Now(), room: p.config.Room,
	}, nil
}

// ErrNoRoom says that the process may open no further connection to targets and relays.
var ErrNoRoom = errors.New("no room for a further connection")

// IsNoDescriptor reports whether a connection could not be opened for want of a descriptor here, which tells nothing of the other end.
func IsNoDescriptor(err error) bool {
	return errors.Is(err, ErrNoRoom) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// dialWithRoom dials. If there is no room, or no descriptor, connections that are idle are closed first.
func (p *Pool) dialWithRoom(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if p.config.Room.Max > 0 && p.config.Room.Open() >= p.config.Room.Max && !p.closeLongestIdle() {
		return nil, ErrNoRoom
	}
	c, err := p.config.Dial(ctx, "tcp", address.String())
	if err == nil || !IsNoDescriptor(err) {
		return c, err
	}
	p.closeLongestIdle()
	p.config.FreeDescriptors()
	return p.config.Dial(ctx, "tcp", address.String())
}

// closeLongestIdle closes the connection that has been idle for longest, and reports whether there is one.
func (p *Pool) closeLongestIdle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var longest *Conn
	for _, all := range p.idle {
		// Connections become idle at the end of their list.
		if len(all) > 0 && (longest == nil || all[0].lastUsed.Before(longest.lastUsed)) {
			longest = all[0]
		}
	}
	if longest == nil {
		return false
	}
	p.idle[longest.address] = slices.Delete(p.idle[longest.address], 0, 1)
	longest.Close()
	return true
}

// popIdle takes the most recently used idle connection that has not carried the request; nil if there is none. carried says that one
// has carried it.
func (p *Pool) popIdle(u Use) (c *Conn, carried bool) {
	now := p.config.Clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	all := p.idle[u.Address]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].carried.has(u.Request, now) {
			carried = true
			continue
		}
		c = all[i]
		p.idle[u.Address] = slices.Delete(all, i, i+1)
		return c, carried
	}
	return nil, carried
}

// Put makes a connection idle after a complete response.
func (p *Pool) Put(c *Conn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.lastUsed = p.config.Clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.keep(func(c *Conn) bool { return now.Sub(c.lastUsed) < c.idleLimit })
}

// CloseRemoved closes idle connections to runs of targets that are gone, or have another address.
func (p *Pool) CloseRemoved(isThere func(target string, born int64, address netip.AddrPort) bool) {
	p.keep(func(c *Conn) bool { return isThere(c.target, c.born, c.address) })
}

// keep closes the idle connections for which isKept returns false.
func (p *Pool) keep(isKept func(c *Conn) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for a, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if isKept(c) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(all[len(kept):])
		if p.idle[a] = kept; len(kept) == 0 {
			delete(p.idle, a)
		}
	}
}

// CloseIdle closes the idle connections to an address: its path failed, and they may have lost it without a sign.
func (p *Pool) CloseIdle(a netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[a] {
		c.Close()
	}
	delete(p.idle, a)
}
