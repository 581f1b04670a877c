package pascenario

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"

	"papayahead/pabundle"
	"papayahead/pastand"
)

// shareStep is how far apart the windows begin in which shares are taken.
const shareStep = 250 * time.Millisecond

// shareSigmas is how many standard deviations of its samples the difference of two windows may lie
// above the cap: about a hundred differences are looked at, so that 4 make a false alarm rarer than
// one run in a hundred.
const shareSigmas = 4

// arrivals are the runs of one load at one service's targets, by whether a region ran them.
type arrivals struct {
	at    time.Time
	there bool
}

// shares checks the cap of a service's shifts from the targets' logs: the share of a load that a
// region ran differs between any two windows that follow each other by at most the cap. As the cap
// bounds how far the share moves from any moment to a window later, it bounds the difference of the
// means too, whichever way the shift goes and however often it turns.
func shares(w *World, ts *testscript.TestScript, a []string) error {
	if err := want(a, 4, "LOAD SERVICE REGION cap=SHARE/WINDOW [end>=SHARE] [peak>=SHARE]"); err != nil {
		return err
	}
	limit, window, err := readCap(a[3])
	if err != nil {
		return err
	}
	if _, err := w.Report(a[0]); err != nil {
		return err
	}
	all, err := w.arrivalsOf(context.Background(), a[0], pabundle.ServiceName(a[1]), pabundle.RegionName(a[2]))
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return trace.NotFound("no target of %s ran anything of %s", a[1], a[0])
	}
	first, last := all[0].at, all[0].at
	for _, x := range all {
		first, last = minTime(first, x.at), maxTime(last, x.at)
	}
	worst, peak := math.Inf(-1), 0.0
	for t := first; !t.Add(2 * window).After(last); t = t.Add(shareStep) {
		p, n := shareIn(all, t, t.Add(window))
		q, m := shareIn(all, t.Add(window), t.Add(2*window))
		if n == 0 || m == 0 {
			continue
		}
		peak = max(peak, q)
		worst = max(worst, math.Abs(q-p)-shareSigmas*deviation(p, n, q, m))
		if worst > limit {
			return trace.LimitExceeded("share of %s went from %.2f to %.2f in %s, %s after the first run; the cap is %g",
				a[2], p, q, window, t.Sub(first).Round(time.Millisecond), limit)
		}
	}
	end, n := shareIn(all, last.Add(-window), last)
	ts.Logf("share of %s: peak %.2f, at the end %.2f of %d; largest surely seen step of a window %.2f, cap %g", a[2], peak, end, n, worst, limit)
	for _, c := range a[4:] {
		if err := checkShare(c, map[string]float64{"end": end, "peak": peak}); err != nil {
			return err
		}
	}
	return nil
}

// minTime and maxTime order two times.
func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// deviation is the standard deviation of the difference of two shares seen in n and m samples.
func deviation(p float64, n int, q float64, m int) float64 {
	mean := (p*float64(n) + q*float64(m)) / float64(n+m)
	return math.Sqrt(mean * (1 - mean) * (1/float64(n) + 1/float64(m)))
}

// shareIn is the share of the arrivals of a time that the region ran, and their number.
func shareIn(all []arrivals, from, to time.Time) (float64, int) {
	there, n := 0, 0
	for _, x := range all {
		if x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		n++
		if x.there {
			there++
		}
	}
	return float64(there) / float64(max(1, n)), n
}

func readCap(text string) (float64, time.Duration, error) {
	v, _ := strings.CutPrefix(text, "cap=")
	share, window, ok := strings.Cut(v, "/")
	x, err := strconv.ParseFloat(share, 64)
	d, err2 := time.ParseDuration(window)
	if !ok || err != nil || err2 != nil || d <= 0 {
		return 0, 0, trace.BadParameter("%q: want cap=SHARE/WINDOW", text)
	}
	return x, d, nil
}

// checkShare checks a condition on the share in the last window or in the highest one.
func checkShare(condition string, shares map[string]float64) error {
	i := strings.IndexAny(condition, "<>")
	if i <= 0 || len(condition) < i+3 {
		return trace.BadParameter("%q: want end or peak, >= or <=, and a share", condition)
	}
	got, known := shares[condition[:i]]
	x, err := strconv.ParseFloat(condition[i+2:], 64)
	if !known || err != nil {
		return trace.BadParameter("%q: want end or peak, >= or <=, and a share", condition)
	}
	if !holds(got, condition[i:i+2], x) {
		return trace.CompareFailed("the share is %.2f, want %s", got, condition)
	}
	return nil
}

// arrivalsOf collects the runs of a load at a service's targets.
func (w *World) arrivalsOf(ctx context.Context, load string, s pabundle.ServiceName, r pabundle.RegionName) ([]arrivals, error) {
	places := w.deployment.places()
	var found []arrivals
	for _, v := range w.deployment.Bundle.Services {
		if v.Name != s {
			continue
		}
		for _, t := range v.Targets {
			var all []pastand.Execution
			url := "http://" + w.deployment.behind(t.Address).String() + "/Executions"
			if err := w.call(ctx, http.MethodGet, url, nil, &all); err != nil {
				return nil, trace.Wrap(err, "the log of %s", t.Name)
			}
			for _, e := range all {
				if strings.HasPrefix(e.Request, load+"-") {
					found = append(found, arrivals{e.Started, places[t.Zone].Region == r})
				}
			}
		}
	}
	return found, nil
}

// worked checks that targets have run something by now: a target that nobody used would leave without
// proving anything.
func worked(w *World, _ *testscript.TestScript, a []string) error {
	if err := want(a, 1, "TARGET..."); err != nil {
		return err
	}
	for _, n := range a {
		t, err := w.deployment.Target(n)
		if err != nil {
			return err
		}
		var all []pastand.Execution
		url := "http://" + w.deployment.behind(t.Address).String() + "/Executions"
		if err := w.call(context.Background(), http.MethodGet, url, nil, &all); err != nil {
			return trace.Wrap(err, "the log of %s", n)
		}
		if len(all) == 0 {
			return trace.NotFound("%s has run nothing", n)
		}
	}
	return nil
}
