package paquota

import (
	"testing"
	"time"
)

// loadedEntry is an entry VM with a constant interval between requests and a constant network delay to the limiter.
type loadedEntry struct {
	share           *Share
	interval, delay time.Duration
	nextRequest     time.Duration
	nextCall        time.Duration
	call            *call
	sent, refused   int
	id              uint64
}

// simulate runs entry VMs that share a limit for two minutes of virtual time.
func simulate(l Limit, t Tolerance, all []*loadedEntry) {
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

func (b *loadedEntry) step(pool *Pool, now time.Duration) {
	if now >= b.nextRequest {
		b.nextRequest += b.interval
		b.sent++
		if b.share.Decide(now, true) == Refuse {
			b.refused++
		}
	}
	if c := b.call; c != nil {
		if now == c.arrivesAt {
			c.granted, c.next = pool.Take(c.demand, now)
		}
		if now < c.returnsAt {
			return
		}
		_, refused := b.share.ApplyGrant(c.granted, c.next, 150*time.Millisecond, now)
		b.refused += refused
		b.call, b.nextCall = nil, now+15*time.Millisecond
		return
	}
	if now < b.nextCall {
		return
	}
	if d := b.share.Demand(now); d.Waiting+d.Spare > 0 {
		d.EntryID = b.id
		b.call = &call{demand: d, arrivesAt: now + b.delay, returnsAt: now + 2*b.delay}
	}
}

// admittedFraction returns the fraction of the requests that were not refused.
func (b *loadedEntry) admittedFraction() float64 { return 1 - float64(b.refused)/float64(b.sent) }

// maxUnevenness is the maximum ratio between the admitted fractions of equal entry VMs.
const maxUnevenness = 4

// Guards against an entry VM whose callers are refused for as long as other entry VMs reach the limiter first.
func TestBusyEntryVMsTakeTurnsAtTheLimiter(t *testing.T) {
	tolerance := Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	for _, rate := range []float64{20, 100, 400} {
		for _, n := range []int{2, 3, 6, 12} {
			for _, over := range []float64{1.5, 4, 20} {
				var all []*loadedEntry
				interval := time.Duration(float64(time.Second) * float64(n) / (rate * over))
				for i := range n {
					all = append(all, &loadedEntry{
						id: uint64(i + 1), interval: interval, delay: time.Duration(1+i*3%35) * time.Millisecond,
						nextRequest: time.Duration(i*13) * time.Millisecond,
					})
				}
				simulate(Limit{Rate: rate, Burst: rate}, tolerance, all)
				least, most := 1.0, 0.0
				for _, b := range all {
					least, most = min(least, b.admittedFraction()), max(most, b.admittedFraction())
				}
				if most > maxUnevenness*least {
					t.Errorf("rate %v, %d entry VMs, load %v times the limit: fractions admitted from %.3f to %.3f", rate, n, over, least, most)
				}
			}
		}
	}
}

// Guards against a division of a low limit without slack in which no bucket ever holds a whole token.
func TestASmallLimitWithoutSlackIsServed(t *testing.T) {
	tolerance := Tolerance{Window: 5 * time.Second, Overage: 0.1}
	for _, rate := range []float64{0.5, 1, 2, 5} {
		for _, n := range []int{1, 7, 34, 300} {
			var all []*loadedEntry
			interval := time.Duration(float64(time.Second) * float64(n) / (rate * 0.7))
			for i := range n {
				all = append(all, &loadedEntry{
					id: uint64(i + 1), interval: interval, delay: 18 * time.Millisecond,
					nextRequest: time.Duration(i) * interval / time.Duration(n),
				})
			}
			simulate(Limit{Rate: rate}, tolerance, all)
			sent, refused := 0, 0
			for _, b := range all {
				sent, refused = sent+b.sent, refused+b.refused
			}
			if float64(refused) > 0.6*float64(sent) {
				t.Errorf("rate %v, %d entry VMs: %d of %d requests refused below the limit", rate, n, refused, sent)
			}
		}
	}
}
