package paquota

import (
	"testing"
	"time"
)

// Guards against a share of a few tokens that admits no new request as long as callers are told to return, who may never come: one of
// 28 entry VMs, with a limit of 40 requests a second and a limiter that is not reached.
func TestSmallShareAdmitsBehindReservedTokens(t *testing.T) {
	tolerance := Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	d := Divide(Limit{Rate: 40, Burst: 40}, tolerance, 28)
	s := NewShare(d.Share, 0, tolerance, 0)
	admitted := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		if s.DecideReserving(3, now, false) == Admit {
			admitted++
		}
	}
	if want := int(d.Share.Rate * 60 / 2); want == 0 || admitted < want {
		t.Errorf("%d new requests admitted in a minute, want %d", admitted, want)
	}
}
