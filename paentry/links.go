package paentry

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pabundle"
	"papayahead/pacontrol"
	"papayahead/palink"
	"papayahead/paproxy"
)

const (
	// headBytes is what a request's or answer's head counts for on a link.
	headBytes palink.Bytes = 1 << 10
	// noRatePause is how long a body waits to look again while this entry VM has no part of a link:
	// the region's entry VMs do not agree on who counts, which they do within seconds.
	noRatePause = 100 * time.Millisecond
	// linkComeBack is what a caller is told when the link is full, if the link gave no time.
	linkComeBack = time.Second
)

// links keeps what this entry VM sends to each other region within its part of the link. Traffic
// uses it directly, under one lock that is held for a few hundred nanoseconds.
type links struct {
	clock clockwork.Clock
	self  pabundle.RegionName

	mu      sync.Mutex
	budgets map[pabundle.RegionName]*palink.Budget
	// regions are the entry VMs' regions.
	regions map[pabundle.EntryName]pabundle.RegionName
	// sent counts the bytes that each request under way has sent over a link.
	sent map[paproxy.RequestID]palink.Bytes
}

func newLinks(c clockwork.Clock, self pabundle.RegionName) *links {
	return &links{
		clock: c, self: self,
		budgets: map[pabundle.RegionName]*palink.Budget{},
		regions: map[pabundle.EntryName]pabundle.RegionName{},
		sent:    map[paproxy.RequestID]palink.Bytes{},
	}
}

// follow takes the links' capacities, and who shares them, from a snapshot.
func (l *links) follow(s *pacontrol.Snapshot) {
	if s.Bundle == nil || s.View == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, m := range s.View.Members {
		l.regions[m.Name] = m.Region
	}
	for _, x := range s.Bundle.Links {
		if x.From != l.self {
			continue
		}
		b := l.budgets[x.To]
		if b == nil {
			b = &palink.Budget{}
			l.budgets[x.To] = b
		}
		d := palink.LinkShare{Capacity: x.Capacity, Reserve: s.Bundle.Policy.Reserve, Members: s.Members}
		b.SetRate(now, d.Rate())
	}
}

// admit books the head of a request that leaves the region. It reports false when the link has no
// room for it in time; the placement is ended as not run then, and another one follows.
func (l *links) admit(p paproxy.Placement, size int64) bool {
	f, ok := p.(paproxy.Forward)
	if !ok {
		return true
	}
	l.mu.Lock()
	b := l.budget(f.Entry)
	if b == nil {
		l.mu.Unlock()
		return true
	}
	class := palink.Short
	if palink.Bytes(size) > palink.MaxShort {
		class = palink.Long
	}
	k := b.Reserve(l.clock.Now(), class, headBytes)
	l.mu.Unlock()
	if k.Decision != palink.Refuse {
		return true
	}
	f.Done(paproxy.Result{
		Outcome: paproxy.NotRun, Reason: "LinkFull", Fault: paproxy.FaultRefused, RetryAfter: max(linkComeBack, k.RetryAfter),
	})
	return false
}

// budget returns the budget towards an entry VM's region, nil within the own one; the caller holds
// the lock.
func (l *links) budget(to pabundle.EntryName) *palink.Budget {
	r, ok := l.regions[to]
	if !ok || r == l.self {
		return nil
	}
	return l.budgets[r]
}

// Pace implements paproxy.Pacer: it waits until the link has room for the next bytes. The first
// bytes of a body go with the short messages; what comes after them is a long transfer.
func (l *links) Pace(ctx context.Context, f paproxy.Flow, bytes int) error {
	if f.Peer == "" || !f.Sending {
		return nil
	}
	for left := palink.Bytes(bytes); left > 0; {
		n, wait := l.book(f, left)
		left -= n
		if wait <= 0 {
			continue
		}
		select {
		case <-l.clock.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// book takes room for up to n bytes and returns for how many, and how long to wait before they go.
func (l *links) book(f paproxy.Flow, n palink.Bytes) (palink.Bytes, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budget(f.Peer)
	if b == nil {
		return n, 0
	}
	now := l.clock.Now()
	if sent := l.sent[f.Request]; sent+n <= palink.MaxShort {
		if k := b.Reserve(now, palink.Short, n); k.Decision != palink.Refuse {
			l.sent[f.Request] = sent + n
			return n, k.Wait
		}
	}
	n = min(n, palink.MaxChunk)
	wait, ok := b.PaceChunk(now, n)
	if !ok {
		return 0, noRatePause
	}
	l.sent[f.Request] += n
	return n, wait
}

// forget drops the account of a request that is over.
func (l *links) forget(id paproxy.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sent, id)
}
