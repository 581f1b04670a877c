package paload

import (
	"math"
	"testing"
	"time"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	slots = 3.0
	run   = 300 * time.Millisecond
)

func at(d time.Duration) time.Time { return begin.Add(d) }

// model returns a model with the run time of the tests.
func model() *Model {
	m := &Model{}
	m.ObserveRun(run)
	return m
}

// Guards against a queue that is forgotten while it is there, and against one that counts for long after it is done.
func TestQueueDecaysByItsOwnLength(t *testing.T) {
	m := model()
	var short, long Belief
	for i := range 20 {
		short.Observe(0, slots, at(time.Duration(i)*time.Second))
		long.Observe(0, slots, at(time.Duration(i)*time.Second))
	}
	now := at(20 * time.Second)
	short.Observe(2, slots, now)
	long.Observe(12, slots, now)
	if got := short.Remaining(m, slots, now.Add(run)); math.Abs(got-2/math.E) > 0.01 {
		t.Errorf("two requests at three slots: %.2f left after a run, want %.2f", got, 2/math.E)
	}
	if got := long.Remaining(m, slots, now.Add(4*run)); math.Abs(got-12/math.E) > 0.01 {
		t.Errorf("twelve requests at three slots: %.2f left after four runs, want %.2f", got, 12/math.E)
	}
	if got := long.Others(m, slots, now.Add(time.Minute)); got > 0.1 {
		t.Errorf("%.2f requests a minute after the last word", got)
	}
}

// Guards against a target under a standing load that counts as free whenever it was not heard for a second.
func TestUnheardTargetTendsToItsUsualLoad(t *testing.T) {
	m := model()
	var b Belief
	for i := range 100 {
		b.Observe(float64(4+i%5), slots, at(time.Duration(i)*200*time.Millisecond))
	}
	now := at(20*time.Second - 200*time.Millisecond)
	b.Observe(0, slots, now)
	if got := b.Others(m, slots, now.Add(2*time.Second)); got < 4 || got > 6 {
		t.Errorf("%.2f requests two seconds after the last word, want about the usual six", got)
	}
	if got := b.Remaining(m, slots, now.Add(2*time.Second)); got != 0 {
		t.Errorf("%.2f requests count as known, want none: a request would be refused for those that may have come", got)
	}
	if !b.IsFresh(m, slots, now.Add(run/2)) || b.IsFresh(m, slots, now.Add(2*run)) {
		t.Error("want the load to be fresh after half a run, and not after two")
	}
}

// Guards against a target that counts as slow long after it is as fast as usual again, and as usual while it is slow.
func TestSlownessIsForgottenAsFastAsItChanges(t *testing.T) {
	for _, hold := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second} {
		m := model()
		var b Belief
		for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
			slowness := 1.0
			if now/hold%3 == 0 {
				slowness = 2.5
			}
			b.ObserveSlowness(m, slowness, at(now))
		}
		if life := m.slowLife(); life < hold/2 || life > 2*hold {
			t.Errorf("slowness that lasts %v is taken to last %v", hold, life)
		}
		now := at(time.Minute)
		b.ObserveSlowness(m, 2.5, now)
		if got := b.Slowness(m, now); got != 2.5 {
			t.Errorf("%v: slowness %.2f at once, want 2.5", hold, got)
		}
		if got := b.Slowness(m, now.Add(5*hold)); got > 1.2 {
			t.Errorf("%v: slowness %.2f five times as long after, want it to be forgotten", hold, got)
		}
	}
}

// A target that reports no slowness is as usual, also before anything is known.
func TestZeroValues(t *testing.T) {
	var m Model
	var b Belief
	if b.Others(&m, slots, begin) != 0 || b.Remaining(&m, slots, begin) != 0 || b.Slowness(&m, begin) != 1 || b.IsFresh(&m, slots, begin) {
		t.Errorf("a belief that knows nothing says %v, %v, %v", b.Others(&m, slots, begin), b.Remaining(&m, slots, begin), b.Slowness(&m, begin))
	}
	b.ObserveSlowness(&m, 0, begin)
	if got := b.Slowness(&m, begin); got != 1 {
		t.Errorf("slowness %v without a report", got)
	}
}

// Guards against a target that is out of use for minutes, as its queue would take that long by the load that it reported.
func TestReportedLoadIsBounded(t *testing.T) {
	m := model()
	var b Belief
	b.Observe(1e9, slots, begin)
	if got := b.Remaining(m, slots, begin); got != maxLoadPerSlot*slots {
		t.Errorf("%v requests, want %v at most", got, maxLoadPerSlot*slots)
	}
	if got := b.Others(m, slots, at(time.Minute)); got > slots {
		t.Errorf("%v requests a minute after, want a free slot", got)
	}
}

// Guards against a report from a clock that was set back, which would make a belief grow.
func TestReportFromTheFuture(t *testing.T) {
	m := model()
	var b Belief
	b.Observe(5, slots, at(time.Minute))
	b.ObserveSlowness(m, 2, at(time.Minute))
	if got := b.Others(m, slots, begin); got != 5 {
		t.Errorf("%v requests a minute before the report, want 5", got)
	}
	if got := b.Slowness(m, begin); got != 2 {
		t.Errorf("slowness %v a minute before the report, want 2", got)
	}
}
