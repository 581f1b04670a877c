package paheader

import (
	"strings"
	"testing"
	"time"
)

const longestWait = 24 * time.Hour

// A value that is no time must not take a target out of use, and one that is must not be lost beside another.
func TestRetryAfterValues(t *testing.T) {
	for _, c := range []struct {
		values     []string
		want       time.Duration
		unreadable bool
	}{
		{nil, 0, false},
		{[]string{"3"}, 3 * time.Second, false},
		{[]string{" 0.25 "}, 250 * time.Millisecond, false},
		{[]string{"1e1"}, 10 * time.Second, false},
		{[]string{"0"}, 0, false},
		{[]string{"-0"}, 0, false},
		{[]string{"1", "3"}, 3 * time.Second, false},
		{[]string{"soon", "3"}, 3 * time.Second, true},
		{[]string{"-3"}, 0, true},
		{[]string{""}, 0, true},
		{[]string{"soon"}, 0, true},
		{[]string{"1, 3"}, 0, true},
		{[]string{"NaN"}, 0, true},
		{[]string{"Inf"}, 0, true},
		{[]string{"0x10"}, 0, true},
		{[]string{"1_0"}, 0, true},
		{[]string{"Wed, 21 Oct 2026 07:28:00 GMT"}, 0, true},
		{[]string{"1" + strings.Repeat("0", 400)}, longestWait, false},
		{[]string{"1e309"}, longestWait, false},
		{[]string{"-1e309"}, 0, true},
		{[]string{"1e-400"}, 0, false},
	} {
		if got, unreadable := ParseRetryAfter(c.values, longestWait); got != c.want || unreadable != c.unreadable {
			t.Errorf("%.40q: %v, unreadable %v, want %v, %v", c.values, got, unreadable, c.want, c.unreadable)
		}
	}
}
