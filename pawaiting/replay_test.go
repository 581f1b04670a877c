package pawaiting

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var begin = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)

// kind is a stream of requests with Poisson arrivals.
type kind struct {
	priority               int
	workspace              string
	rate                   float64
	run, latency, deadline time.Duration
}

var (
	urgent = kind{0, "a", 30, 100 * time.Millisecond, 400 * time.Millisecond, 2500 * time.Millisecond}
	long   = kind{2, "b", 5, 600 * time.Millisecond, 2 * time.Second, 8 * time.Second}
)

// line is a way to order what waits for a target.
type line interface {
	add(i *Item, now time.Time)
	next(now time.Time) *Item
}

// result counts the requests of a kind; duringRun is the slot time of those that were sent before the load ended.
type result struct {
	arrived, answered, inTime int
	duringRun                 time.Duration
}

func (r result) share() float64 { return float64(r.inTime) / float64(max(1, r.arrived)) }

const targetSlots = 3

// replay sends the requests of all kinds through a line to a target of three slots, for a time, and serves them until none is left.
func replay(l line, length time.Duration, kinds ...kind) (results []result, leftAt time.Duration) {
	random := rand.New(rand.NewPCG(3, 5))
	var all []*Item
	byItem := map[*Item]int{}
	results = make([]result, len(kinds))
	for n, k := range kinds {
		for at := begin; ; {
			at = at.Add(time.Duration(random.ExpFloat64() / k.rate * float64(time.Second)))
			if at.Sub(begin) > length {
				break
			}
			i := &Item{Target: "t", Priority: k.priority, Workspace: k.workspace, Arrived: at, Due: at.Add(k.latency), Deadline: at.Add(k.deadline), Run: k.run}
			all, byItem[i] = append(all, i), n
			results[n].arrived++
		}
	}
	slices.SortFunc(all, func(a, b *Item) int { return a.Arrived.Compare(b.Arrived) })
	var ends []time.Time
	for now := begin; len(all) > 0 || now.Sub(begin) < length+10*time.Second; now = now.Add(time.Millisecond) {
		for len(all) > 0 && !all[0].Arrived.After(now) {
			l.add(all[0], now)
			all = all[1:]
		}
		ends = slices.DeleteFunc(ends, func(t time.Time) bool { return !t.After(now) })
		for len(ends) < targetSlots {
			i := l.next(now)
			if i == nil {
				break
			}
			end, r := now.Add(i.Run), &results[byItem[i]]
			ends, leftAt = append(ends, end), now.Sub(begin)
			if leftAt <= length {
				r.duringRun += i.Run
			}
			if !end.After(i.Deadline) {
				r.answered++
			}
			if !end.After(i.Due) {
				r.inTime++
			}
		}
	}
	return results, leftAt
}

// sorted is a line by an order; drop says which requests are refused rather than sent.
type sorted struct {
	items  []*Item
	before func(a, b *Item) int
	drop   func(i *Item, now time.Time) bool
}

func (s *sorted) add(i *Item, _ time.Time) { s.items = append(s.items, i) }

func (s *sorted) next(now time.Time) *Item {
	s.items = slices.DeleteFunc(s.items, func(i *Item) bool { return s.drop(i, now) })
	if len(s.items) == 0 {
		return nil
	}
	best := slices.MinFunc(s.items, s.before)
	s.items = slices.DeleteFunc(s.items, func(i *Item) bool { return i == best })
	return best
}

// inRoom is a line by a Room.
type inRoom struct{ Room }

func (r *inRoom) add(i *Item, now time.Time) {
	r.CountArrival(i.Workspace, now)
	r.Add(i, now)
}

func (r *inRoom) next(now time.Time) *Item {
	for {
		i := r.Next("t", now)
		switch {
		case i == nil:
			return nil
		case now.Before(r.Expires(i)):
			r.Send(i, now)
			return i
		}
		r.Remove(i)
	}
}

func byArrival(a, b *Item) int  { return a.Arrived.Compare(b.Arrived) }
func byDeadline(a, b *Item) int { return a.Deadline.Compare(b.Deadline) }

func missesDeadline(i *Item, now time.Time) bool { return now.Add(i.Run).After(i.Deadline) }
func missesLatency(i *Item, now time.Time) bool  { return now.Add(i.Run).After(i.Due) }

// Guards against urgent requests that are answered late behind long runs, and against less urgent ones that get nothing, under
// twice the capacity for ten seconds; -v compares the orders.
func TestUrgentGoFirstAndNobodyStarves(t *testing.T) {
	for _, w := range []struct {
		name string
		line line
	}{
		{"arrival", &sorted{before: byArrival, drop: missesDeadline}},
		{"deadline", &sorted{before: byDeadline, drop: missesDeadline}},
		{"arrival, late ones dropped", &sorted{before: byArrival, drop: missesLatency}},
		{"room", &inRoom{}},
	} {
		r, _ := replay(w.line, 10*time.Second, urgent, long)
		t.Logf("%-26s urgent %.2f in time of %d, %d answered; long %.2f of %d, %d answered", w.name, r[0].share(), r[0].arrived, r[0].answered,
			r[1].share(), r[1].arrived, r[1].answered)
		if w.name != "room" {
			continue
		}
		if r[0].share() < r[1].share() || r[0].share() < 0.8 {
			t.Errorf("%.2f of the urgent requests are in time and %.2f of the long ones, want the urgent first and 0.8", r[0].share(), r[1].share())
		}
		if r[1].answered == 0 {
			t.Error("no long run was answered, want a share")
		}
	}
}

// Guards against an order that sends each request just when it is late: twice the capacity of one kind for ten seconds.
func TestStandingOverloadIsAnsweredInTime(t *testing.T) {
	k := urgent
	k.rate = 60
	for _, w := range []struct {
		name string
		line line
		want float64
	}{
		{"arrival", &sorted{before: byArrival, drop: missesDeadline}, 0},
		{"deadline", &sorted{before: byDeadline, drop: missesDeadline}, 0},
		{"arrival, late ones dropped", &sorted{before: byArrival, drop: missesLatency}, 0},
		{"room", &inRoom{}, 0.4},
	} {
		r, _ := replay(w.line, 10*time.Second, k)
		t.Logf("%-26s %.2f in time, %d of %d answered", w.name, r[0].share(), r[0].answered, r[0].arrived)
		if r[0].share() < w.want {
			t.Errorf("%s: %.2f in time, want %.2f of twice what fits", w.name, r[0].share(), w.want)
		}
	}
}

// Guards against a least urgent kind that gets nothing while more urgent ones alone take twice the capacity.
func TestLeastUrgentKeepsItsShare(t *testing.T) {
	k := urgent
	k.rate = 60
	r, _ := replay(&inRoom{}, 10*time.Second, k, long)
	slots := r[1].duringRun.Seconds() / (10 * targetSlots)
	t.Logf("%.3f of the slot time", slots)
	if slots < DefaultLeastShare/2 || slots > 3*DefaultLeastShare {
		t.Errorf("the least urgent got %.3f of the slots' time (%+v), want about %.2f", slots, r, DefaultLeastShare)
	}
}

// Guards against a workspace that sends eight times its usual and takes the place of those that send their usual.
func TestWorkspaceBeyondItsUsualTakesNoPlace(t *testing.T) {
	usual, burst := urgent, urgent
	usual.workspace, usual.rate = "usual", 12
	burst.workspace, burst.rate = "burst", 12*8
	r := &inRoom{}
	for at := begin.Add(-20 * time.Second); at.Before(begin); at = at.Add(time.Second / 12) {
		r.CountArrival("usual", at)
		r.CountArrival("burst", at)
	}
	results, _ := replay(r, 10*time.Second, usual, burst)
	t.Logf("usual %.2f in time, burst %.2f", results[0].share(), results[1].share())
	if results[0].share() < 0.9 {
		t.Errorf("%.2f of the requests of a workspace that sends its usual are in time, want 0.9", results[0].share())
	}
}

// Guards against requests that are left waiting after a burst.
func TestRoomEmptiesAfterBurst(t *testing.T) {
	r := &inRoom{}
	_, leftAt := replay(r, time.Second, urgent, long, kind{1, "c", 100, 100 * time.Millisecond, time.Second, 3 * time.Second})
	if r.Len() != 0 || r.Bytes() != 0 || len(r.queues) != 0 {
		t.Errorf("%d requests wait after the burst, %d bytes, %d queues", r.Len(), r.Bytes(), len(r.queues))
	}
	if leftAt > 9*time.Second {
		t.Errorf("the last request was sent after %v, past its deadline", leftAt)
	}
}
