package pasteer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayahead/pafleet"
	"papayahead/paroute"
)

const pushbackWanted = 3 * time.Second

// without is a view of the fleet that lacks a target.
func without(v *pafleet.View, id string) *pafleet.View {
	w := *v
	w.Targets = map[string]*pafleet.TargetState{}
	for other, t := range v.Targets {
		if other != id {
			w.Targets[other] = t
		}
	}
	return &w
}

// with is a view of the fleet in which a target is changed.
func with(v *pafleet.View, id string, change func(t *pafleet.TargetState)) *pafleet.View {
	w := without(v, id)
	t := *v.Targets[id]
	change(&t)
	w.Targets[id] = &t
	return w
}

// Each way by which a request is sent had a rule of its own for which target is skipped, and none of them knew of a pushback.
func TestNoChoiceLeadsToATargetThatWantsNoRequests(t *testing.T) {
	const id = "a1-0"
	others := func(v *pafleet.View) (all []string) {
		for other := range v.Targets {
			if other != id {
				all = append(all, other)
			}
		}
		return all
	}
	for name, prepare := range map[string]func(b *Balancer, v *pafleet.View, q *Request, now time.Time){
		"the home of an object": func(b *Balancer, v *pafleet.View, q *Request, now time.Time) {
			b.addWarm(b.targets[id], q.key(), q.Object, now)
		},
		"the last one left": func(b *Balancer, v *pafleet.View, q *Request, now time.Time) { q.Tried = others(v) },
		"a new one that is due for its first request": func(b *Balancer, v *pafleet.View, q *Request, now time.Time) {
			b.used["s"] = true
			b.Update(without(v, id), now.Add(-time.Minute))
			b.Update(v, now.Add(-30*time.Second))
		},
		"a limited one that is to be asked": func(b *Balancer, v *pafleet.View, q *Request, now time.Time) {
			b.setLimit(b.targets[id], true, 100, now.Add(-3*time.Second), now.Add(-3*time.Second))
		},
		"one that answers nothing, whose trial is due": func(b *Balancer, v *pafleet.View, q *Request, now time.Time) {
			b.targets[id].unresponsiveAt = now.Add(-time.Minute)
			q.Tried = others(v)
		},
		"one that turned away several": func(b *Balancer, v *pafleet.View, q *Request, now time.Time) {
			for range shedsToAvoid {
				b.targets[id].countShed(now)
			}
			q.Tried = others(v)
		},
		"the best one of a region that the object may not leave": func(b *Balancer, v *pafleet.View, q *Request, now time.Time) {
			q.Route = &paroute.Route{Name: "r", Affinity: true, Idempotent: true, TargetLatency: 600 * time.Millisecond, AllowedRegions: []string{"a"}}
			q.Tried = slices.DeleteFunc(others(v), func(other string) bool { return v.Targets[other].Zone[0] != 'a' })
		},
		"one that other entry VMs reach": func(b *Balancer, v *pafleet.View, q *Request, now time.Time) {
			b.targets[id].viaRelay = true
			q.Tried = others(v)
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := fleet(2)
			b := newBalancer("a1", v)
			now := begin.Add(time.Minute)
			q := request("object", now)
			prepare(b, v, &q, now)
			if c := b.Choose(q, now); c.Target != id {
				t.Fatalf("chose %q before, want %q", c.Target, id)
			}
			b.PushBack(id, 1, pushbackWanted, now)
			for at := now; at.Before(now.Add(pushbackWanted)); at = at.Add(100 * time.Millisecond) {
				q.Deadline = at.Add(3 * time.Second)
				if c := b.Choose(q, at); c.Target == id {
					t.Fatalf("chosen %v after it asked for %v without requests: %+v", at.Sub(now), pushbackWanted, c)
				}
			}
			after := now.Add(pushbackWanted + pushbackWanted/2)
			b.setLimit(b.targets[id], false, 0, now, now)
			b.targets[id].unresponsiveAt = time.Time{}
			q.Tried, q.Deadline = others(v), after.Add(3*time.Second)
			if c := b.Choose(q, after); c.Target != id {
				t.Errorf("chose %+v when the time was over, want %q", c, id)
			}
		})
	}
}

// A connection opened for longer than the half second in which a request that is on its way may still arrive.
func TestRequestIsWithheldThatWasChosenBefore(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	now := begin.Add(time.Minute)
	q := request("object", now)
	c := b.Choose(q, now)
	b.Start(c, q, now)
	if !b.MaySend(c, now) {
		t.Fatal("withheld without a reason")
	}
	b.PushBack(c.Target, c.Born, pushbackWanted, now)
	if b.MaySend(c, now.Add(600*time.Millisecond)) {
		t.Error("may be sent to a target that wants no requests meanwhile")
	}
	b.Finish(Report{Target: c.Target, Route: "r", Outcome: Withheld, Duration: 600 * time.Millisecond}, now.Add(600*time.Millisecond))
	m := b.targets[c.Target]
	if m.inFlight != 0 || m.errors.value > 0 || m.failures > 0 || !m.path.lostSince.IsZero() {
		t.Errorf("a request that was withheld left marks: %+v", m)
	}
}

// viewsOfALifetime are views of the fleet after each of which a target is in the same lifetime as before.
func viewsOfALifetime(v *pafleet.View, id string) map[string][]*pafleet.View {
	newConfig := without(v, "")
	newConfig.Config = &paroute.Config{Version: 2, Services: v.Config.Services}
	return map[string][]*pafleet.View{
		"a view that lacks it": {without(v, id), v},
		"a new registration": {with(v, id, func(t *pafleet.TargetState) {
			t.Sequence, t.Revision, t.Registered = 1, 5000, 5000
		})},
		"another address":                    {with(v, id, func(t *pafleet.TargetState) { t.Address = netip.MustParseAddrPort("10.0.0.9:80") })},
		"a new version of the configuration": {newConfig},
	}
}

// The state of a target began anew with each registration, and with each view of the store that lacked it for a moment.
func TestPushbackLastsForALifetimeOfTheTarget(t *testing.T) {
	const id = "a1-0"
	v := fleet(2)
	for name, views := range viewsOfALifetime(v, id) {
		t.Run(name, func(t *testing.T) {
			b := newBalancer("a1", v)
			now := begin.Add(time.Minute)
			b.PushBack(id, 1, time.Hour, now)
			for i, w := range views {
				b.Update(w, now.Add(time.Duration(i+1)*time.Second))
			}
			if b.available(b.targets[id], now.Add(59*time.Minute)) {
				t.Error("it gets requests again")
			}
			if changes := b.PushbackChanges(now.Add(time.Minute)); len(changes) != 1 {
				t.Errorf("changes %+v, want its begin only", changes)
			}
		})
	}
	t.Run("and no longer", func(t *testing.T) {
		b := newBalancer("a1", v)
		b.PushBack(id, 1, time.Hour, begin)
		restarted := with(v, id, func(t *pafleet.TargetState) { t.Born = 2 })
		b.Update(restarted, begin.Add(time.Second))
		if !b.available(b.targets[id], begin.Add(time.Second)) {
			t.Error("a new lifetime under the same ID knows of nothing and gets no requests")
		}
		changes := b.PushbackChanges(begin.Add(time.Second))
		if len(changes) != 2 || !changes[1].Ended || b.PushbackTargets() != 0 {
			t.Errorf("changes %+v, want its end", changes)
		}
	})
}

// Less asked for later, or a response from before, does not shorten the time; more lengthens it.
func TestLongestPushbackCounts(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	target := b.targets["a1-0"]
	b.PushBack("a1-0", 1, 3*time.Second, begin)
	b.PushBack("a1-0", 1, 100*time.Millisecond, begin.Add(time.Second))
	b.Finish(Report{Target: "a1-0", Route: "r", Outcome: Answered, Duration: 2 * time.Second}, begin.Add(2*time.Second))
	if b.available(target, begin.Add(2900*time.Millisecond)) {
		t.Error("it gets requests before the time that it asked for first is over")
	}
	b.PushBack("a1-0", 1, 5*time.Second, begin.Add(2*time.Second))
	if b.available(target, begin.Add(6900*time.Millisecond)) {
		t.Error("it gets requests before the time that it asked for last is over")
	}
	b.PushBack("a1-0", 1, 1000*time.Hour, begin)
	if wait := target.pushbackWait(begin); wait < MaxPushback || wait > 2*MaxPushback {
		t.Errorf("asked for beyond all bounds, and gets no requests for %v", wait)
	}
}

// A response that was on its way when the time began, and arrives when it is over, does not tell that the target takes requests.
func TestOnlyAnAnswerToALaterRequestEndsTheTrials(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	target := b.targets["a1-0"]
	b.PushBack("a1-0", 1, time.Second, begin)
	now := begin.Add(2 * time.Second)
	q := request("object", now)
	trial := func(now time.Time) { b.Start(Choice{Target: "a1-0", Born: 1}, q, now) }
	trial(now)
	b.Finish(Report{Target: "a1-0", Route: "r", Outcome: Answered, Duration: 1900 * time.Millisecond}, now)
	if b.available(target, now) {
		t.Error("a second request beside the first one that was sent again")
	}
	now = now.Add(pushbackTrialInterval)
	if !b.available(target, now) {
		t.Error("no further trial while the first is not answered")
	}
	trial(now)
	b.Finish(Report{Target: "a1-0", Route: "r", Outcome: Answered, Duration: 10 * time.Millisecond}, now.Add(10*time.Millisecond))
	if now = now.Add(resumeTime + time.Second); !b.available(target, now) {
		t.Error("requests are bounded for good")
	}
}

// Asking for time is no failure: a target that did so was taken for one that fails a part of its requests for long after.
func TestPushbackLeavesNoMarks(t *testing.T) {
	for _, outcome := range []Outcome{Shed, Failed} {
		b := newBalancer("a1", fleet(2))
		for range 20 {
			b.Start(Choice{Target: "a1-0", Born: 1}, request("object", begin), begin)
			b.PushBack("a1-0", 1, time.Second, begin)
			b.Finish(Report{Target: "a1-0", Route: "r", Outcome: outcome, PushedBack: true, LoadKnown: true}, begin)
		}
		m := b.targets["a1-0"]
		if m.errors.value > 0 || m.failures > 0 || m.shedStreak > 0 || m.load(begin) > 0 || !m.backoffUntil.IsZero() || m.isCold(begin) {
			t.Errorf("%v: marks %+v", outcome, m)
		}
	}
}

// Refused requests came back into the same refusals, or waited for seconds though a target took them.
func TestRefusalNamesTheShortestPushback(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	now := begin.Add(time.Minute)
	for i, id := range allTargets(b) {
		b.PushBack(id, 1, time.Duration(2+i)*time.Second, now)
	}
	c := b.Choose(request("object", now), now)
	if c.Target != "" || c.Reason != ReasonPushback || c.RetryAfter < 2*time.Second || c.RetryAfter > 3*time.Second {
		t.Errorf("%+v, want a refusal for 2 to 3 s", c)
	}
	refuse(b, []string{"b1-0"}, now)
	b.targets["a1-1"].pushback = nil
	b.targets["a1-1"].backoffUntil = now.Add(time.Second)
	if c := b.Choose(request("object", now), now); c.RetryAfter > retryAfterNoTarget {
		t.Errorf("%+v, want a refusal for at most %v: a target is backed off that may be tried by then", c, retryAfterNoTarget)
	}
}

// Targets that ask for hours and are never seen again must not fill the memory.
func TestPushbacksOfAbsentTargetsAreBounded(t *testing.T) {
	v := fleet(2)
	b := newBalancer("a1", v)
	for i := range 3 * maxAbsent {
		b.PushBack(fmt.Sprint("gone-", i), 1, time.Hour+time.Duration(i)*time.Millisecond, begin)
	}
	b.PushBack("a1-0", 1, time.Minute, begin)
	b.PushbackChanges(begin)
	if n := len(b.pushbacks); n != maxAbsent+1 {
		t.Errorf("%d are kept, want %d", n, maxAbsent+1)
	}
	if b.available(b.targets["a1-0"], begin.Add(time.Second)) {
		t.Error("a target that is there was dropped for one that is not")
	}
}

// Whatever happens in between, a target that asked for time is not chosen, and nothing may be sent to it, until it is over.
func TestPushbacksHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(1)
		b := newBalancer("a1", v)
		ids := allTargets(b)
		now := begin.Add(time.Minute)
		until := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "target")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "wait")) * time.Millisecond
				b.PushBack(id, 1, wait, now)
				until[id] = later(until[id], now.Add(wait))
			case 1:
				b.Update(without(v, id), now)
			case 2:
				b.Update(v, now)
			case 3:
				refuse(b, []string{id}, now)
			case 4:
				b.PushbackChanges(now)
			default:
				q := request(fmt.Sprint("object-", rapid.IntRange(0, 9).Draw(t, "object")), now)
				c := b.Choose(q, now)
				if c.Target == "" {
					continue
				}
				if now.Before(until[c.Target]) || !b.MaySend(c, now) {
					t.Fatalf("%s is chosen %v too early", c.Target, until[c.Target].Sub(now))
				}
				b.Start(c, q, now)
				b.Finish(Report{Target: c.Target, Route: "r", Object: q.Object, Outcome: Answered, Duration: time.Millisecond}, now)
			}
		}
	})
}

// Guards against entry VMs that stop together: each counted itself alone, and sent to a target that came back seven times its part.
func TestSpacingAfterAPushbackCountsThoseThatJustLeft(t *testing.T) {
	v := fleet(2)
	b := newBalancer("a1", v)
	before := len(v.Entries)
	b.SetSharers(before)
	for zone := range regions {
		v.Apply(pafleet.EntryRemoved{Name: "entry-" + zone, Revision: 2000}, begin)
	}
	b.Update(v, begin)
	p := pushback{answeredAt: begin, runTime: time.Second}
	if got, want := p.interval(begin, b.entryCount, 3), p.interval(begin, before, 3); got != want {
		t.Errorf("a request each %v, want %v", got, want)
	}
}
