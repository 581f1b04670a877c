package paheader

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseLimit parses the values of a header that names the rate of requests that a target takes. Of none, nothing is limited; anything but one rate is unreadable.
func ParseLimit(values []string, isValid func(perSecond float64) bool) (limited bool, perSecond float64, unreadable bool) {
	if len(values) == 0 {
		return false, 0, false
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if len(values) > 1 || err != nil || !isValid(n) {
		return false, 0, true
	}
	return true, n, false
}

// ParseRetryAfter parses the values of a Retry-After header, of at most a longest time. Of several the longest counts, so that each is kept to. A date is
// unreadable: it would depend on the target's clock.
func ParseRetryAfter(values []string, bound time.Duration) (longest time.Duration, unreadable bool) {
	for _, v := range values {
		wait, ok := parseSeconds(strings.TrimSpace(v), bound)
		longest, unreadable = max(longest, wait), unreadable || !ok
	}
	return longest, unreadable
}

// parseSeconds parses a decimal number of seconds of at least 0, which may have a fraction and an exponent. One beyond all bounds is
// the bound.
func parseSeconds(v string, bound time.Duration) (time.Duration, bool) {
	if strings.Trim(v, "0123456789.eE+-") != "" {
		return 0, false // ParseFloat also reads names and hexadecimal numbers.
	}
	n, err := strconv.ParseFloat(v, 64)
	if errors.Is(err, strconv.ErrRange) && n > 0 {
		err = nil
	}
	if err != nil || n < 0 || math.IsNaN(n) {
		return 0, false
	}
	return time.Duration(min(n, bound.Seconds()) * float64(time.Second)), true
}

// ParseKeepAlive returns the timeout of a Keep-Alive header.
func ParseKeepAlive(v string) (time.Duration, bool) {
	for _, p := range strings.Split(v, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(p), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(n) * time.Second, err == nil
	}
	return 0, false
}
