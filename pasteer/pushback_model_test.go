package pasteer

import (
	"container/heap"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var pushbackWays = flag.Bool("pushback.ways", false, "print how ways to keep to pushbacks compare")

// pushbackWay is a way to keep to pushbacks.
type pushbackWay int

const (
	// hinted is the way of the product. ownWord tells neighbours nothing; toldWord has them keep to what one of them was told; noReturn
	// ends a pushback for all requests at the moment that the target named.
	hinted pushbackWay = iota
	ownWord
	toldWord
	noReturn
)

// pushbackModel has entry VMs and 12 targets of one service in virtual time. Targets have three slots and a queue of nine; some turn
// all requests away for a while and ask for no requests.
type pushbackModel struct {
	*limitModel
	way pushbackWay
	// hintLasts are the last notes on pushbacks that each entry VM has of others, by their indexes.
	hintLasts map[[2]int]uint64
	events    eventHeap
	// turnsAway returns the time that a target asks for, or 0 if it takes requests.
	turnsAway func(target string, at time.Duration) time.Duration
	inQueue   map[string]int
	// warm are the targets and objects of which the target has run the object.
	warm map[string]bool
	// asked are the responses that asked for no requests, full how often a target had no room.
	asked    []modelPushback
	arrivals map[string][]modelArrival
	full     int
}

type modelArrival struct {
	at time.Duration
	vm *Balancer
}

type modelPushback struct {
	modelArrival
	target string
	wait   time.Duration
}

const (
	modelSlots = 3
	modelQueue = 9
	// modelCold is how many times as long a run takes at a target that has not run the object before.
	modelCold    = 3
	modelObjects = 120
	modelTick    = 20 * time.Millisecond
)

func newPushbackModel(entries int, way pushbackWay, turnsAway func(target string, at time.Duration) time.Duration) *pushbackModel {
	m := &pushbackModel{
		limitModel: newLimitModel(entries, nil), way: way, hintLasts: map[[2]int]uint64{}, turnsAway: turnsAway, inQueue: map[string]int{}, warm: map[string]bool{}, arrivals: map[string][]modelArrival{},
	}
	for _, b := range m.all {
		b.Config.RetryRatio, b.Config.RetryFloor = 0.2, 160
	}
	return m
}

func (m *pushbackModel) at(at time.Duration, do func()) {
	heap.Push(&m.events, simEvent{begin.Add(at), func(time.Time) { do() }})
}

// play sends perSecond requests a second, each at a random entry VM, and returns how many were sent and served by the second of their
// arrival.
func (m *pushbackModel) play(duration time.Duration, perSecond int) (sent, served []int) {
	seconds := int(duration / time.Second)
	sent, served = make([]int, seconds), make([]int, seconds)
	for n := range seconds * perSecond {
		at := time.Duration(n) * time.Second / time.Duration(perSecond)
		m.at(at, func() {
			b, q := m.all[m.random.IntN(len(m.all))], request(fmt.Sprint(m.random.IntN(modelObjects)), begin.Add(at))
			b.PickService(q.Route, begin.Add(at))
			sent[at/time.Second]++
			m.send(b, q, at, func() { served[at/time.Second]++ })
		})
	}
	for at := time.Duration(0); at < duration; at += modelTick {
		m.at(at, func() { m.tell(at) })
	}
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(simEvent)
		e.do(e.at)
	}
	return sent, served
}

// send makes one attempt, and another one after a target turned it away.
func (m *pushbackModel) send(b *Balancer, q Request, at time.Duration, done func()) {
	now := begin.Add(at)
	c := b.Choose(q, now)
	if c.Target == "" || c.Relay {
		m.comeBack(b, q, at, c.RetryAfter, done)
		return
	}
	b.Start(c, q, now)
	m.arrivals[c.Target] = append(m.arrivals[c.Target], modelArrival{at, b})
	r := Report{Target: c.Target, Route: "r", Object: q.Object, Warm: c.Warm, LoadKnown: true, Running: min(modelSlots, m.inQueue[c.Target])}
	wait := m.turnsAway(c.Target, at)
	switch {
	case wait > 0:
		m.asked = append(m.asked, modelPushback{modelArrival{at, b}, c.Target, wait})
		b.PushBack(c.Target, c.Born, wait, now)
		r.PushedBack = true
	case m.inQueue[c.Target] >= modelSlots+modelQueue:
		m.full++
		r.Waiting = modelQueue
	default:
		m.run(b, c, r, at, done)
		return
	}
	r.Outcome = Shed
	b.Finish(r, now)
	if len(q.Tried)+1 < q.Route.MaxAttempts && b.TakeRetry(q.Service, now) {
		q.Tried = append(q.Tried, c.Target)
		m.send(b, q, at, done)
	}
}

// comeBack sends a refused request again, as its caller does: after its Retry-After, which the entry VM lengthens by up to a half, but
// after no more than a third of the time that is left.
func (m *pushbackModel) comeBack(b *Balancer, q Request, at, wait time.Duration, done func()) {
	left := q.Deadline.Sub(begin.Add(at))
	wait = min(time.Duration(float64(wait)*(1+m.random.Float64()/2)), left/3)
	if left < 100*time.Millisecond {
		return
	}
	q.Tried = nil
	m.at(at+wait, func() { m.send(b, q, at+wait, done) })
}

// run queues a request at a target.
func (m *pushbackModel) run(b *Balancer, c Choice, r Report, at time.Duration, done func()) {
	took := limitModelRun
	object := c.Target + " " + r.Object
	if !m.warm[object] {
		took *= modelCold
	}
	m.warm[object] = true
	took += took * time.Duration(m.inQueue[c.Target]/modelSlots)
	m.inQueue[c.Target]++
	m.at(at+took, func() {
		m.inQueue[c.Target]--
		r.Outcome, r.Duration, r.Running = Answered, took, min(modelSlots, m.inQueue[c.Target])
		b.Finish(r, begin.Add(at+took))
		done()
	})
}

// tell exchanges what entry VMs tell each other twice a second, and does what the way adds.
func (m *pushbackModel) tell(at time.Duration) {
	now := begin.Add(at)
	for _, b := range m.all {
		b.AccrueRetries(func(string, int) float64 { return 1 / float64(len(m.all)) }, now)
		b.PushbackChanges(now)
	}
	if at%(500*time.Millisecond) == 0 {
		m.exchangeWarm(now)
	} else if m.way != noReturn {
		return
	}
	for _, p := range m.asked {
		left := p.at + p.wait - at
		for _, b := range m.all {
			switch known := b.pushbacks[lifetime{p.target, 1}]; {
			case m.way == toldWord && left > 0 && known == nil:
				b.PushBack(p.target, 1, left, now)
			case m.way == noReturn && known != nil && !now.Before(known.until):
				b.endPushback(lifetime{p.target, 1}, now)
			}
		}
	}
}

// exchangeWarm has each entry VM get the notes on warm objects of those at growing distances.
func (m *pushbackModel) exchangeWarm(now time.Time) {
	n := len(m.all)
	for i, b := range m.all {
		for d := 1; d < n; d *= 2 {
			edge := [2]int{i, (i + d) % n}
			notes, last := m.all[edge[1]].WarmNotes(m.lasts[edge], 200, now)
			m.lasts[edge] = last
			b.ApplyNotes(notes, now)
			if m.way != ownWord {
				hints, last := m.all[edge[1]].PushbackNotes(m.hintLasts[edge], 64, now)
				m.hintLasts[edge] = last
				b.ApplyPushbackNotes(hints, now)
			}
		}
	}
}

// mostInPushback is the largest number of requests at a target from an entry VM in a time for which it had been asked for none.
func (m *pushbackModel) mostInPushback() (most int) {
	for _, p := range m.asked {
		n := 0
		for _, a := range m.arrivals[p.target] {
			if a.vm == p.vm && a.at > p.at+500*time.Millisecond && a.at < p.at+p.wait {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// mostAtOnce is the largest number of requests that reached a target within a tenth of a second of a time.
func (m *pushbackModel) mostAtOnce(from, to time.Duration) (most int) {
	for _, all := range m.arrivals {
		all = slices.DeleteFunc(slices.Clone(all), func(a modelArrival) bool { return a.at < from || a.at >= to })
		first := 0
		for i := range all {
			for all[i].at-all[first].at > 100*time.Millisecond {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// askingFrom has a number of targets turn all requests away from 2 s to an end.
func askingFrom(targets []string, wait, end time.Duration) func(string, time.Duration) time.Duration {
	return func(target string, at time.Duration) time.Duration {
		if at >= 2*time.Second && at < end && slices.Contains(targets, target) {
			return wait
		}
		return 0
	}
}

// share is the part of what was sent in some seconds that was served.
func share(sent, served []int, from, to int) float64 {
	all, done := 0, 0
	for i := from; i < to; i++ {
		all, done = all+sent[i], done+served[i]
	}
	return float64(done) / float64(all)
}

// However many entry VMs there are, each keeps to what it was told, the others' requests are served elsewhere, and a target that was
// left alone by all does not get the requests of all in one moment.
func TestPushbacksHoldForAnyNumberOfEntryVMs(t *testing.T) {
	for _, entries := range []int{1, 7, 30, 300} {
		for _, asking := range []int{1, 6, 12} {
			t.Run(fmt.Sprintf("%d entry VMs, %d of 12 targets", entries, asking), func(t *testing.T) {
				t.Parallel()
				m := newPushbackModel(entries, hinted, nil)
				m.turnsAway = askingFrom(m.targetIDs()[:asking], 3*time.Second, 6*time.Second)
				sent, served := m.play(14*time.Second, 300)
				if most := m.mostInPushback(); most > 2 {
					t.Errorf("%d requests in a time for which the target had asked for none, want at most 2", most)
				}
				if got := share(sent, served, 2, 6); asking == 1 && got < 0.97 {
					t.Errorf("%.3f served while one target wants no requests, want 0.97", got)
				}
				if got := share(sent, served, 12, 14); got < 0.98 {
					t.Errorf("%.3f served later than 6 s after the end, want 0.98", got)
				}
				usual := m.mostAtOnce(0, 2*time.Second)
				if most := m.mostAtOnce(6*time.Second, 14*time.Second); most > 3*usual {
					t.Errorf("%d requests reached a target within 0.1 s afterwards, want at most three times the usual %d", most, usual)
				}
			})
		}
	}
}

// It prints the table of docs/design/targets-that-ask-for-time.md.
func TestPushbackWays(t *testing.T) {
	if !*pushbackWays {
		t.Skip("a measurement, not a test")
	}
	for _, entries := range []int{7, 30, 300} {
		for _, asking := range []int{1, 6, 12} {
			for way, name := range []string{"own word, a hint to others", "own word alone", "told to neighbours", "no return"} {
				m := newPushbackModel(entries, pushbackWay(way), nil)
				m.turnsAway = askingFrom(m.targetIDs()[:asking], 3*time.Second, 6*time.Second)
				sent, served := m.play(14*time.Second, 300)
				fmt.Printf("| %d, %d of 12 | %s | %d | %d | %.3f | %.3f | %d, %d usual | %d |\n", entries, asking, name, m.mostInPushback(), len(m.asked),
					share(sent, served, 2, 6), share(sent, served, 6, 10), m.mostAtOnce(6*time.Second, 14*time.Second), m.mostAtOnce(0, 2*time.Second), m.full)
			}
		}
	}
}
