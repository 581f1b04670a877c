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
	// headBytes is the size that is assumed for the head of a request or response on a link.
	headBytes palink.Bytes = 1 << 10
	// noRateRetry is how long a body waits before it checks again whether this entry VM has a share of the
	// link. It has none while the region's entry VMs disagree on their members, which lasts seconds.
	noRateRetry = 100 * time.Millisecond
	// linkRetryAfter is the least time after which a caller may retry when the link is full.
	linkRetryAfter = time.Second
)

// links limits the rate at which this entry VM sends to each other region to its share of the link.
// Request goroutines call it directly, under one mutex that is held for a few hundred nanoseconds.
type links struct {
	clock clockwork.Clock
	self  pabundle.RegionName

	mu      sync.Mutex
	budgets map[pabundle.RegionName]*palink.Budget
	// regions maps each entry VM to its region.
	regions map[pabundle.EntryName]pabundle.RegionName
	// sent counts the bytes that each request in flight has sent over a link.
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

// update sets the budgets from a snapshot's link capacities and number of agreed members.
func (l *links) update(s *pacontrol.Snapshot) {
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

// admit reserves link budget for the head of a request that is forwarded to another region. If the link
// is too busy, it ends the placement as NotRun, for which the control state sends another placement, and
// returns false.
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
		Outcome: paproxy.NotRun, Reason: "LinkFull", Fault: paproxy.FaultRefused, RetryAfter: max(linkRetryAfter, k.RetryAfter),
	})
	return false
}

// budget returns the budget of the link to an entry VM's region. It returns nil, for no limit, within the
// own region, for an unknown entry VM and without a configured link. The caller holds the mutex.
func (l *links) budget(to pabundle.EntryName) *palink.Budget {
	r, ok := l.regions[to]
	if !ok || r == l.self {
		return nil
	}
	return l.budgets[r]
}

// Pace implements paproxy.Pacer: it waits until the link's budget allows the next bytes to be sent. The
// first palink.MaxShort bytes of a request have the priority of short messages, later ones that of long
// transfers. It returns ctx.Err() if ctx is cancelled first.
func (l *links) Pace(ctx context.Context, f paproxy.Flow, bytes int) error {
	if f.Peer == "" || !f.Sending {
		return nil
	}
	for left := palink.Bytes(bytes); left > 0; {
		n, wait := l.reserve(f, left)
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

// reserve takes budget for up to n bytes. It returns for how many, and how long to wait before sending them.
func (l *links) reserve(f paproxy.Flow, n palink.Bytes) (palink.Bytes, time.Duration) {
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
		return 0, noRateRetry
	}
	l.sent[f.Request] += n
	return n, wait
}

// forget drops the byte count of a request that has ended.
func (l *links) forget(id paproxy.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sent, id)
}
