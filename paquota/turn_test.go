package paquota

import (
	"testing"
	"time"
)

// busy is an entry VM whose callers send requests at a constant pace, over a constant way to the limiter.
type busy struct {
	share          *Share
	pace, way      time.Duration
	nextRequest    time.Duration
	nextAsk        time.Duration
	asks           *call
	asked, refused int
	id             uint64
}

// play lets entry VMs share a limit for two minutes and returns them.
func play(l Limit, t Tolerance, all []*busy) {
	d := Divide(l, t, len(all))
	pool := NewPool(d.Pool, t, 0)
	for _, b := range all {
		b.share = NewShare(d.Share, 0, t, 0)
	}
	for now := time.Duration(0); now < 2*time.Minute; now += time.Millisecond {
		for _, b := range all {
			b.step(pool, now)
		}
	}
}

func (b *busy) step(pool *Pool, now time.Duration) {
	if now >= b.nextRequest {
		b.nextRequest += b.pace
		b.asked++
		if b.share.Decide(now, true) == Refuse {
			b.refused++
		}
	}
	if c := b.asks; c != nil {
		if now == c.arrives {
			c.granted, c.next = pool.Take(c.wanted, now)
		}
		if now < c.replies {
			return
		}
		_, refused := b.share.ApplyGrant(c.granted, c.next, 150*time.Millisecond, now)
		b.refused += refused
		b.asks, b.nextAsk = nil, now+15*time.Millisecond
		return
	}
	if now < b.nextAsk {
		return
	}
	if w := b.share.Demand(now); w.Waiting+w.Spare > 0 {
		w.EntryID = b.id
		b.asks = &call{wanted: w, arrives: now + b.way, replies: now + 2*b.way}
	}
}

// served is the part of the requests that ran.
func (b *busy) served() float64 { return 1 - float64(b.refused)/float64(b.asked) }

// mostUneven is how many times as many of its requests one of several equal entry VMs may have served.
const mostUneven = 4

// Guards against entry VMs whose callers are refused for as long as those of others come first at the limiter.
func TestBusyEntryVMsTakeTurnsAtTheLimiter(t *testing.T) {
	terms := Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	for _, rate := range []float64{20, 100, 400} {
		for _, n := range []int{2, 3, 6, 12} {
			for _, over := range []float64{1.5, 4, 20} {
				var all []*busy
				pace := time.Duration(float64(time.Second) * float64(n) / (rate * over))
				for i := range n {
					all = append(all, &busy{id: uint64(i + 1), pace: pace, way: time.Duration(1+i*3%35) * time.Millisecond, nextRequest: time.Duration(i*13) * time.Millisecond})
				}
				play(Limit{Rate: rate, Burst: rate}, terms, all)
				least, most := 1.0, 0.0
				for _, b := range all {
					least, most = min(least, b.served()), max(most, b.served())
				}
				if most > mostUneven*least {
					t.Errorf("rate %v, %d entry VMs, %v times the limit: served %.3f to %.3f", rate, n, over, least, most)
				}
			}
		}
	}
}

// Guards against a limit without slack of which no bucket ever holds a whole request.
func TestASmallLimitWithoutSlackIsServed(t *testing.T) {
	terms := Tolerance{Window: 5 * time.Second, Overage: 0.1}
	for _, rate := range []float64{0.5, 1, 2, 5} {
		for _, n := range []int{1, 7, 34, 300} {
			var all []*busy
			pace := time.Duration(float64(time.Second) * float64(n) / (rate * 0.7))
			for i := range n {
				all = append(all, &busy{id: uint64(i + 1), pace: pace, way: 18 * time.Millisecond, nextRequest: time.Duration(i) * pace / time.Duration(n)})
			}
			play(Limit{Rate: rate}, terms, all)
			asked, refused := 0, 0
			for _, b := range all {
				asked, refused = asked+b.asked, refused+b.refused
			}
			if float64(refused) > 0.6*float64(asked) {
				t.Errorf("rate %v, %d entry VMs: %d of %d requests below the limit are refused", rate, n, refused, asked)
			}
		}
	}
}
