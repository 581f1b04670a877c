package paload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// replay is one target that many entry VMs send to in turn, each every few seconds, with bursts above what its slots can do.
type replay struct {
	random  *rand.Rand
	model   *Model
	entries []*replayEntry
	queue   []replayRequest
	// callAfter is the time between two calls to a neighbour; 0 is for none. cut is when the halves of the fleet stop to hear of
	// each other.
	callAfter, cut time.Duration
	sent           int
}

type replayEntry struct {
	belief Belief
	log    Log
	// lastOthers and lastAt are the latest report, which counts for oldTTL where a service is not contended.
	lastOthers float64
	lastAt     time.Time
	own        int
	// asked is the last note from each neighbour.
	asked map[int]uint64
}

// replayRequest is at the target since before doneAt; doneAt is zero while it waits.
type replayRequest struct {
	entry  int
	doneAt time.Time
}

const (
	replayStep = 10 * time.Millisecond
	replayTime = 80 * time.Second
	// replayQueue is how many requests the target has at most.
	replayQueue = 12
	callEvery   = 500 * time.Millisecond
	// oldTTL is how long a report counts at a service that is not contended.
	oldTTL = 500 * time.Millisecond
)

func newReplay(entries int) *replay {
	r := &replay{random: rand.New(rand.NewPCG(7, 11)), model: model()}
	for range entries {
		r.entries = append(r.entries, &replayEntry{asked: map[int]uint64{}})
	}
	return r
}

// rate returns the requests a second: twice what the slots can do for a second in four.
func (r *replay) rate(now time.Duration) float64 {
	if now/time.Second%4 == 0 {
		return 20
	}
	return 6
}

// play runs the load and returns the mean errors of the belief and of the former one, sampled over all entry VMs.
func (r *replay) play(sample func(now time.Duration) bool) (mean, former float64) {
	samples := 0.0
	for now := time.Duration(0); now < replayTime; now += replayStep {
		r.step(now)
		if !sample(now) {
			continue
		}
		for _, e := range r.entries {
			truth := float64(len(r.queue) - e.own)
			old := 0.0
			if at(now).Sub(e.lastAt) <= oldTTL {
				old = e.lastOthers
			}
			mean += abs(e.belief.Others(r.model, slots, at(now)) - truth)
			former += abs(old - truth)
			samples++
		}
	}
	return mean / samples, former / samples
}

// step completes runs, starts others, and makes calls.
func (r *replay) step(now time.Duration) {
	for i := 0; i < len(r.queue); i++ {
		if q := r.queue[i]; !q.doneAt.IsZero() && !q.doneAt.After(at(now)) {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			i--
			r.answer(r.entries[q.entry], now)
		}
	}
	if len(r.queue) < replayQueue && r.random.Float64() < r.rate(now)*replayStep.Seconds() {
		i := r.random.IntN(len(r.entries))
		r.entries[i].own++
		r.queue = append(r.queue, replayRequest{entry: i})
	}
	for i := range min(int(slots), len(r.queue)) {
		if r.queue[i].doneAt.IsZero() {
			r.queue[i].doneAt = at(now + time.Duration((0.5+r.random.Float64())*float64(run)))
		}
	}
	if r.callAfter > 0 {
		r.call(now)
	}
}

// answer has an entry VM take the response to its request.
func (r *replay) answer(e *replayEntry, now time.Duration) {
	e.own--
	others := float64(len(r.queue) - e.own)
	e.lastOthers, e.lastAt = others, at(now)
	e.belief.Observe(others, slots, at(now))
	if e.belief.Advertise(r.model, others+float64(e.own), slots, at(now)) {
		e.log.Add(Note{Key: 1, Load: others + float64(e.own)}, true, at(now))
	}
}

// call has each entry VM ask eight others at growing distances, one after the other.
func (r *replay) call(now time.Duration) {
	for i, e := range r.entries {
		for k, distance := range []int{1, 2, 3, 4, 5, 6, 9, 13} {
			phase := time.Duration(i*37+k*61) * replayStep % r.callAfter
			from := (i + distance) % len(r.entries)
			isCut := r.cut > 0 && now >= r.cut && i%2 != from%2
			if now%r.callAfter != phase || isCut {
				continue
			}
			notes, last := r.entries[from].log.After(e.asked[from], 64, k%2 == 0, at(now))
			e.asked[from], r.sent = last, r.sent+len(notes)
			for _, n := range notes {
				if e.belief.Apply(n, float64(e.own), slots, at(now)) {
					e.log.Add(n, false, at(now))
				}
			}
		}
	}
}

func always(time.Duration) bool { return true }

// Many entry VMs send to one busy target, each every few seconds: half of their choices know nothing of it, and all fill its queue.
func TestReplayOfBusyTarget(t *testing.T) {
	alone, told := newReplay(20), newReplay(20)
	told.callAfter = callEvery
	aloneError, former := alone.play(always)
	toldError, _ := told.play(always)
	perSecond := float64(told.sent) / replayTime.Seconds() / float64(len(told.entries))
	t.Logf("mean error in requests: %.2f before, %.2f by own answers, %.2f with notes; %.1f notes a second from each entry VM", former, aloneError, toldError, perSecond)
	if aloneError > former || toldError > 0.75*former {
		t.Errorf("errors %.2f alone and %.2f with notes, want at most %.2f and three quarters of that", aloneError, toldError, former)
	}
}

// Half of the fleet is cut off from the other: beliefs decay to what each half hears, none stays as it was or grows.
func TestHalfOfTheFleetIsCutOff(t *testing.T) {
	r := newReplay(20)
	r.callAfter, r.cut = callEvery, replayTime/2
	after := func(now time.Duration) bool { return now > replayTime/2+5*time.Second }
	got, former := r.play(after)
	t.Logf("mean error in requests: %.2f before, %.2f with notes from one's own half", former, got)
	if got > former {
		t.Errorf("error %.2f, want no more than %.2f, which it was without notes", got, former)
	}
	for i, e := range r.entries {
		if left := e.belief.Others(r.model, slots, at(replayTime+time.Minute)); left > 0.1 {
			t.Errorf("entry VM %d believes in %.2f requests a minute after the last word", i, left)
		}
	}
}

// BenchmarkOthers is what a decision takes for each target.
func BenchmarkOthers(b *testing.B) {
	m := model()
	var belief Belief
	belief.Observe(7, slots, begin)
	belief.ObserveSlowness(m, 2.5, begin)
	b.ReportAllocs()
	for b.Loop() {
		now := at(run)
		_ = belief.Others(m, slots, now) * belief.Slowness(m, now)
	}
}
