package pasteer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayahead/paroute"
)

// contendedReplay sends requests of two routes to targets of three slots with queues, through one balancer.
type contendedReplay struct {
	*Balancer
	t                       *testing.T
	events                  eventHeap
	targets                 map[string]*simTarget
	arrived, inTime, served map[string]int
	shed                    int
}

func (r *contendedReplay) at(t time.Time, do func(now time.Time)) {
	heap.Push(&r.events, simEvent{t, do})
}

func (r *contendedReplay) arrive(route *paroute.Route, object string, now time.Time) {
	w := waiterFor(route, object, now)
	r.arrived[route.Name]++
	if r.Admit(w, now) {
		r.recheck(w, now)
	} else if w.Choice.Target != "" {
		r.runAt(w, now)
	}
	r.takeReleased(now)
}

func (r *contendedReplay) recheck(w *Waiter, now time.Time) {
	r.at(now.Add(r.RecheckAfter(w, now)), func(now time.Time) {
		if !w.Waits() {
			return
		}
		r.Recheck(w, now)
		r.takeReleased(now)
		if w.Waits() {
			r.recheck(w, now)
		}
	})
}

func (r *contendedReplay) takeReleased(now time.Time) {
	for _, w := range r.Released() {
		if w.Choice.Target != "" {
			r.runAt(w, now)
		}
	}
}

// runAt queues a request at its target, or sheds it if the queue is full.
func (r *contendedReplay) runAt(w *Waiter, now time.Time) {
	m := r.targets[w.Choice.Target]
	if m == nil {
		m = &simTarget{}
		r.targets[w.Choice.Target] = m
	}
	if len(m.queue) >= 9 {
		r.shed++
		r.Finish(Report{Target: w.Choice.Target, Route: w.Request.Route.Name, Outcome: Shed, LoadKnown: true, Running: m.running, Waiting: 9}, now)
		return
	}
	m.queue = append(m.queue, job{target: w.Choice.Target, object: w.Request.Object, choice: w.Choice, arrived: w.Arrived})
	r.startQueued(m, w.Request.Route, now)
}

func (r *contendedReplay) startQueued(m *simTarget, route *paroute.Route, now time.Time) {
	for m.running < 3 && len(m.queue) > 0 {
		j := m.queue[0]
		m.queue = m.queue[1:]
		m.running++
		run := 100 * time.Millisecond
		if route == longRoute {
			run = 600 * time.Millisecond
		}
		r.at(now.Add(run), func(now time.Time) {
			m.running--
			took := now.Sub(j.arrived)
			if took <= route.Timeout {
				r.served[route.Name]++
			}
			if took <= route.TargetLatency {
				r.inTime[route.Name]++
			}
			r.Finish(Report{
				Target: j.target, Route: route.Name, Object: j.object, Outcome: Answered, Duration: run, Warm: j.choice.Warm,
				LoadKnown: true, Running: m.running + 1, Waiting: len(m.queue),
			}, now)
			r.takeReleased(now)
			r.startQueued(m, route, now)
		})
	}
}

func newContendedReplay(t *testing.T, off Off) *contendedReplay {
	b, _ := newContended(4, true)
	b.Config.Off = off
	return &contendedReplay{Balancer: b, t: t, targets: map[string]*simTarget{}, arrived: map[string]int{}, inTime: map[string]int{}, served: map[string]int{}}
}

// run plays twice the capacity of four targets for ten seconds, half of it urgent short runs and half long ones.
func (r *contendedReplay) run() {
	random := rand.New(rand.NewPCG(5, 8))
	for _, k := range []struct {
		route *paroute.Route
		rate  float64
	}{{urgentRoute, 120}, {longRoute, 20}} {
		for at := begin; at.Sub(begin) < 10*time.Second; at = at.Add(time.Duration(random.ExpFloat64() / k.rate * float64(time.Second))) {
			object := fmt.Sprint("o", random.IntN(40))
			r.at(at, func(now time.Time) { r.arrive(k.route, object, now) })
		}
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(simEvent)
		e.do(e.at)
	}
}

func (r *contendedReplay) share(route *paroute.Route) float64 {
	return float64(r.inTime[route.Name]) / float64(r.arrived[route.Name])
}

// Guards against an overload of both kinds that is paid by the urgent ones, that starves the long ones, or whose end leaves
// requests waiting; -v compares it with requests that wait at the targets.
func TestUrgentAreServedUnderOverload(t *testing.T) {
	for _, off := range []Off{{WaitingRoom: true}, {}} {
		r := newContendedReplay(t, off)
		r.run()
		t.Logf("room %-5v urgent %.2f in time, %d of %d served; long %.2f in time, %d of %d; %d shed", !off.WaitingRoom, r.share(urgentRoute),
			r.served["urgent"], r.arrived["urgent"], r.share(longRoute), r.served["long"], r.arrived["long"], r.shed)
		if off.WaitingRoom {
			continue
		}
		if r.share(urgentRoute) < r.share(longRoute) {
			t.Errorf("%.2f of the urgent requests are in time, %.2f of the long ones", r.share(urgentRoute), r.share(longRoute))
		}
		if r.served["long"] == 0 || r.shed > 0 {
			t.Errorf("%d long runs served, want some; %d shed, want none", r.served["long"], r.shed)
		}
		if r.WaitingRequests() != 0 || len(r.waiters) != 0 {
			t.Errorf("%d still wait after the burst", r.WaitingRequests())
		}
	}
}
