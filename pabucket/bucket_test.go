package pabucket

import (
	"testing"
	"time"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// takeAll takes all tokens and returns their number.
func takeAll(b *Bucket, now time.Time) (n int) {
	for b.Take(now) {
		n++
	}
	return n
}

func TestBurstThenRate(t *testing.T) {
	b := Bucket{Rate: 2, Burst: 5}
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 5}, {0, 0}, {time.Second, 2}, {11 * time.Second, 5}} {
		if got := takeAll(&b, begin.Add(step.after)); got != step.want {
			t.Errorf("%d taken after %v, want %d", got, step.after, step.want)
		}
	}
}

func TestEmptyBucketStartsWithoutTokens(t *testing.T) {
	b := Empty(2, 5, begin)
	if got := takeAll(&b, begin); got != 0 {
		t.Errorf("%d taken at the start, want 0", got)
	}
	if got := takeAll(&b, begin.Add(time.Second)); got != 2 {
		t.Errorf("%d taken after a second, want 2", got)
	}
}

// Guards against a debt that is forgotten: what was spent beyond the tokens has to come back first.
func TestSpentBeyondTheTokensIsADebt(t *testing.T) {
	b := Bucket{Rate: 2, Burst: 5}
	b.Available(begin)
	b.Spend(9)
	if got := b.Available(begin.Add(time.Second)); got != -2 {
		t.Errorf("%d available after a second, want -2", got)
	}
}
