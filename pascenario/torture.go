package pascenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// tortureLead is the load before the first fault, and tortureTail the one after the last.
const (
	tortureLead = 2 * time.Second
	tortureTail = 3 * time.Second
)

// The torture leaves each fault in place for faultMin to faultMin + faultSpread, in milliseconds:
// from a blink to longer than the caller's patience and the list's lag in these deployments.
const (
	faultMin    = 300
	faultSpread = 5000
)

// mostBlows bounds the faults that come together.
const mostBlows = 4

// tortureLoad is the load of one region's callers, in requests a second.
type tortureLoad struct {
	name string
	rate int
}

// tortureLoads are the loads of the example's regions, in its order.
func tortureLoads() []tortureLoad {
	return []tortureLoad{{"first", 30}, {"second", 20}, {"third", 20}}
}

// blow is a fault and its end, as lines of a script, and the process that it hits, if it is one.
type blow struct{ begin, end, victim string }

// Torture writes a script of random faults that come alone, together and twice, under load, with all
// promises checked at its end. The same seed and duration make the same script.
func Torture(r *rand.Rand, example string, length time.Duration) string {
	s := &strings.Builder{}
	fmt.Fprintf(s, "# Anything that fails may fail at any moment, together or twice; the promises hold all the same.\n")
	fmt.Fprintf(s, "deploy %s\nsettled\n", example)
	for i, l := range tortureLoads() {
		fmt.Fprintf(s, "load %s region=%d rate=%d duration=%s post=deposits post=reservations repeat=0.2\n", l.name, i, l.rate, length)
	}
	fmt.Fprintf(s, "pause %s\n", tortureLead)
	rolls := 0
	for left := length - tortureLead - tortureTail; left > 0; {
		// One process is hit once at a time: signals to one that has just died are refused.
		hit := map[string]bool{}
		var blows []blow
		for range 1 + r.IntN(mostBlows) {
			b := randomBlow(r, &rolls)
			if !hit[b.victim] || b.victim == "" {
				blows = append(blows, b)
			}
			hit[b.victim] = true
		}
		stay := time.Duration(faultMin+r.IntN(faultSpread)) * time.Millisecond
		for _, b := range blows {
			fmt.Fprintln(s, b.begin)
		}
		fmt.Fprintf(s, "pause %s\n", stay)
		for _, b := range blows {
			fmt.Fprint(s, b.end, "\n")
		}
		rest := time.Duration(faultMin+r.IntN(faultMin)) * time.Millisecond
		fmt.Fprintf(s, "pause %s\n", rest)
		left -= stay + rest
	}
	fmt.Fprintf(s, "pause %s\n", tortureTail)
	for _, l := range tortureLoads() {
		fmt.Fprintf(s, "expect %s Wrong=0 Duplicates=0 FalseNotRun=0\n", l.name)
	}
	for _, l := range tortureLoads() {
		fmt.Fprintf(s, "summary %s\n", l.name)
	}
	return s.String()
}

// randomZones draws two zones of the example, the platform's among them.
func randomZones(r *rand.Rand) (string, string) {
	zones := [...]string{"centro-1", "centro-2", "occidente-1", "occidente-2", "norte-1", "norte-2", string(platformZone)}
	n := r.Perm(len(zones))
	return zones[n[0]], zones[n[1]]
}

// randomTarget draws a target and one of the faults that leave a target's log true. A drain is not
// among them: a target that leaves stays away, and its promise has scripts of its own.
func randomTarget(r *rand.Rand) (string, string) {
	services := [...]string{"availability", "deposits", "reservations", "archive"}
	faults := [...]string{"silent", "slow", "failing", "closing", "dropping", "late", "lie slow"}
	name := fmt.Sprintf("%s-%02d", services[r.IntN(len(services))], 1+r.IntN(12))
	return name, faults[r.IntN(len(faults))]
}

// randomBlow draws one fault with its end.
func randomBlow(r *rand.Rand, rolls *int) blow {
	entry := fmt.Sprintf("entry-%d", 1+r.IntN(7))
	a, b := randomZones(r)
	switch r.IntN(10) {
	case 0:
		return blow{"crash " + entry, "again " + entry, entry}
	case 1:
		return blow{"shutdown " + entry, "again " + entry, entry}
	case 2:
		return blow{"freeze " + entry, "thaw " + entry, entry}
	case 3:
		return blow{begin: "cut " + a + " " + b, end: "heal " + a + " " + b}
	case 4:
		return blow{begin: "cut " + a + " " + b + " oneway", end: "heal " + a + " " + b + " oneway"}
	case 5:
		return blow{begin: "silence " + a + " " + b}
	case 6:
		return blow{begin: "store outage", end: "store heal"}
	case 7:
		return blow{begin: "store slow=400ms", end: "store heal"}
	case 8:
		*rolls++
		return blow{begin: fmt.Sprintf("tryroll comment=torture-%d", *rolls)}
	default:
		target, fault := randomTarget(r)
		return blow{begin: "target " + target + " " + fault, end: "target " + target + " heal"}
	}
}
