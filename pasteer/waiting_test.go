package pasteer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayahead/pafleet"
	"papayahead/paroute"
)

var (
	urgentRoute = &paroute.Route{
		Name: "urgent", Priority: 0, Affinity: true, Idempotent: true, TargetLatency: 400 * time.Millisecond, Timeout: 2500 * time.Millisecond,
	}
	longRoute = &paroute.Route{
		Name: "long", Priority: 2, Affinity: true, Idempotent: true, TargetLatency: 2 * time.Second, Timeout: 8 * time.Second,
	}
)

// newContended returns a balancer of zone a1 with targets there, for whose slots callers compete unless contended is false.
func newContended(targets int, contended bool) (*Balancer, *pafleet.View) {
	v := &pafleet.View{}
	all := []pafleet.Change{pafleet.ConfigUpdated{Revision: 1, Config: &paroute.Config{
		Version: 1, Services: map[string]paroute.Service{"s": {}}, Routes: []paroute.Route{*urgentRoute, *longRoute},
	}}}
	for n := range targets {
		all = append(all, pafleet.TargetUpdated{Target: pafleet.Target{
			ID: fmt.Sprint("t", n), Service: "s", Zone: "a1", Slots: 3, Born: 1, Sequence: 1, Revision: pafleet.Revision(n + 2),
		}})
	}
	v.ApplyListing(all, pafleet.Revision(targets+2), begin)
	b := New(Config{
		Name: "entry-a1", Zone: "a1", Region: "a", Regions: regions, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryFloor: 60,
		Contended: contended,
	})
	b.Update(v, begin)
	return b, v
}

func waiterFor(r *paroute.Route, object string, now time.Time) *Waiter {
	return &Waiter{
		Request:   Request{Route: r, Service: "s", Object: object, Priority: r.Priority, Deadline: now.Add(r.Timeout)},
		Workspace: r.Name, Arrived: now,
	}
}

// fill admits requests until one waits, and returns those that were sent and the one that waits.
func fill(t *testing.T, b *Balancer, r *paroute.Route, now time.Time) (sent []*Waiter, waiting *Waiter) {
	t.Helper()
	for range 100 {
		w := waiterFor(r, "x", now)
		if b.Admit(w, now) {
			return sent, w
		}
		if w.Choice.Target == "" {
			t.Fatalf("refused: %s", w.Choice.Reason)
		}
		sent = append(sent, w)
	}
	t.Fatal("none waits")
	return nil, nil
}

func finishAt(b *Balancer, w *Waiter, now time.Time) {
	b.Finish(Report{Target: w.Choice.Target, Route: w.Request.Route.Name, Object: w.Request.Object, Outcome: Answered, Duration: 200 * time.Millisecond}, now)
}

// Guards against an urgent request that waits at its target behind less urgent ones that need not have been sent yet.
func TestUrgentOvertakesWhatWaits(t *testing.T) {
	b, _ := newContended(1, true)
	sent, long := fill(t, b, longRoute, begin)
	if len(sent) != 3 {
		t.Fatalf("%d requests were sent to a target of three slots", len(sent))
	}
	first := waiterFor(urgentRoute, "x", begin)
	if b.Admit(first, begin) {
		t.Fatal("the most urgent got no place beyond the slots")
	}
	urgent := waiterFor(urgentRoute, "x", begin)
	if !b.Admit(urgent, begin) {
		t.Fatal("a fifth request was sent to a target of three slots")
	}
	now := begin.Add(100 * time.Millisecond)
	finishAt(b, sent[0], now)
	if got := b.Released(); len(got) != 1 || got[0] != urgent || urgent.Choice.Target == "" || !long.Waits() {
		t.Fatalf("released %d, want the urgent one", len(got))
	}
	if long.Overtaken() != 2 {
		t.Errorf("overtaken by %d, want 2", long.Overtaken())
	}
}

// Guards against requests that wait for a target which is gone: they go elsewhere.
func TestWaitersLeaveTargetThatIsGone(t *testing.T) {
	b, v := newContended(2, true)
	_, w := fill(t, b, longRoute, begin)
	gone := w.item.Target
	v.Apply(pafleet.TargetRemoved{ID: gone, Revision: v.Revision + 1}, begin)
	b.Update(v, begin.Add(50*time.Millisecond))
	if got := b.Released(); len(got) != 1 || got[0] != w || w.Choice.Target == "" || w.Choice.Target == gone {
		t.Fatalf("released %d with target %q, want another target than %s", len(got), w.Choice.Target, gone)
	}
	if b.WaitingRequests() != 0 {
		t.Errorf("%d still wait", b.WaitingRequests())
	}
}

// Guards against a request that waits for a wake-up which cannot come: the requests that fill the target are other entry VMs'.
func TestWaiterNeedsNoEvent(t *testing.T) {
	b, _ := newContended(1, true)
	b.targets["t0"].belief.Observe(3, 3, begin)
	w := waiterFor(longRoute, "x", begin)
	if !b.Admit(w, begin) {
		t.Fatal("sent to a target without a free slot")
	}
	now := begin
	for w.Waits() && now.Before(begin.Add(10*time.Second)) {
		after := b.RecheckAfter(w, now)
		if run := b.expectedRun(w.Request, true); after > max(2*minRecheck, run) {
			t.Fatalf("rechecked after %v, a run takes %v", after, run)
		}
		now = now.Add(after)
		b.Recheck(w, now)
	}
	if w.Waits() || w.Choice.Target == "" || now.Sub(begin) > 2*time.Second {
		t.Errorf("after %v: waits %v, %+v", now.Sub(begin), w.Waits(), w.Choice)
	}
}

// Guards against a request that waits until its deadline although an answer can no longer come, and one whose caller left that
// keeps a place.
func TestWaitersThatCannotBeServedLeave(t *testing.T) {
	b, _ := newContended(1, true)
	_, w := fill(t, b, urgentRoute, begin)
	gone := waiterFor(urgentRoute, "x", begin)
	b.Admit(gone, begin)
	b.Withdraw(gone, "CallerGone", begin)
	for now := begin; w.Waits(); now = now.Add(b.RecheckAfter(w, now) + time.Millisecond) {
		b.Recheck(w, now)
		if !w.Waits() && (w.Choice.Reason != ReasonTooLate || !now.Before(w.Request.Deadline)) {
			t.Errorf("%s %v before the deadline", w.Choice.Reason, w.Request.Deadline.Sub(now))
		}
	}
	if b.WaitingRequests() != 0 || len(b.waiters) != 0 {
		t.Errorf("%d wait, %d are known", b.WaitingRequests(), len(b.waiters))
	}
}

// Guards against requests that wait in the order of a configuration which is no longer in force.
func TestPriorityChangesWhileWaiting(t *testing.T) {
	b, _ := newContended(1, true)
	sent, first := fill(t, b, longRoute, begin)
	second := waiterFor(longRoute, "x", begin)
	b.Admit(second, begin)
	b.SetPriority(second, 1)
	finishAt(b, sent[0], begin.Add(100*time.Millisecond))
	if got := b.Released(); len(got) != 1 || got[0] != second || !first.Waits() {
		t.Errorf("released %d, want the one that became more urgent", len(got))
	}
}

// Guards against a change of deployments whose callers do not compete for slots: there, nothing waits here and each request gets
// the same choice as without a room.
func TestNothingWaitsUnlessContended(t *testing.T) {
	b, _ := newContended(3, false)
	plain, _ := newContended(3, false)
	plain.Config.Off.WaitingRoom = true
	random := rand.New(rand.NewPCG(1, 1))
	now := begin
	var running []*Waiter
	for range 3000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		r := []*paroute.Route{urgentRoute, longRoute}[random.IntN(2)]
		w := waiterFor(r, fmt.Sprint("o", random.IntN(20)), now)
		want := plain.Choose(w.Request, now)
		if want.Target != "" {
			plain.Start(want, w.Request, now)
		}
		if b.Admit(w, now) || w.Choice != want {
			t.Fatalf("waits %v, chose %+v, want %+v", w.Waits(), w.Choice, want)
		}
		if want.Target != "" {
			running = append(running, w)
		}
		for len(running) > 0 && random.IntN(3) > 0 {
			finishAt(b, running[0], now)
			finishAt(plain, running[0], now)
			running = running[1:]
		}
	}
	if b.WaitingRequests() != 0 {
		t.Errorf("%d wait", b.WaitingRequests())
	}
}

// Guards against a retry budget that the least urgent use up, so that more urgent requests fail with their first attempt.
func TestLastRetriesAreKeptForMoreUrgent(t *testing.T) {
	b, _ := newContended(1, true)
	taken := 0
	for b.TakeRetryFor("s", longRoute.Priority, begin) {
		taken++
	}
	kept := 0
	for b.TakeRetryFor("s", urgentRoute.Priority, begin) {
		kept++
	}
	if share := float64(kept) / float64(kept+taken); share < 0.2 || share > 0.3 {
		t.Errorf("%d of %d retries were kept for more urgent requests, want a quarter", kept, kept+taken)
	}
}

// newCrowded returns a large balancer at whose targets a thousand requests wait.
func newCrowded() (*Balancer, []string) {
	b, objects := newLargeBalancer(576)
	b.Config.Contended = true
	for _, t := range b.targets {
		t.otherLoad, t.otherLoadAt = 4, begin
	}
	for n := 0; b.WaitingRequests() < 1000; n++ {
		r := request(objects[n%len(objects)], begin)
		r.Priority = n % 3
		b.Admit(&Waiter{Request: r, Workspace: fmt.Sprint(n % 50), Arrived: begin}, begin)
	}
	return b, objects
}

// Guards against allocations in a decision while a thousand wait; all requests wait for the lock that it holds.
func TestReconsiderDoesNotAllocate(t *testing.T) {
	b, _ := newCrowded()
	var some *Waiter
	for _, some = range b.waiters {
		break
	}
	if got := testing.AllocsPerRun(1000, func() { b.Recheck(some, begin) }); got > 0 {
		t.Errorf("%.2f allocations, want 0", got)
	}
}

func BenchmarkRecheck(b *testing.B) {
	balancer, _ := newCrowded()
	var all []*Waiter
	for _, w := range balancer.waiters {
		all = append(all, w)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		balancer.Recheck(all[n%len(all)], begin)
		n++
	}
}
