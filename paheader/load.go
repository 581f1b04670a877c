package paheader

import (
	"strconv"
	"strings"
)

// Load is what a target's load header says. Known is false if its first two figures are malformed.
type Load struct {
	Known            bool
	Running, Waiting int
	// Slowness is the factor by which work takes longer than usual; 0 if the header does not say so.
	Slowness float64
}

const (
	// slownessField is the position of the percentage of the usual time that work takes, after running, waiting and slots.
	slownessField = 3
	// maxSlowness bounds the factor that is believed; a larger one is a mistake.
	maxSlowness = 100.0
	percent     = 100.0
)

// ParseLoad parses "running,waiting,slots" with an optional fourth figure, the percentage of the usual time that work takes.
func ParseLoad(v string) Load {
	fields := strings.Split(v, ",")
	if len(fields) < 2 {
		return Load{}
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	if err != nil || running < 0 {
		return Load{}
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err != nil || waiting < 0 {
		return Load{}
	}
	l := Load{Known: true, Running: running, Waiting: waiting}
	if len(fields) > slownessField {
		l.Slowness = parseSlowness(fields[slownessField])
	}
	return l
}

// parseSlowness parses a percentage. It returns 0 unless that is a positive number of a plausible size.
func parseSlowness(v string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || !(n > 0) || n > maxSlowness*percent {
		return 0
	}
	return n / percent
}
