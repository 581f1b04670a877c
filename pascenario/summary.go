package pascenario

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/pastand"
)

// Summary is what a deployment's day came to, for a reader and for a promise's proof.
type Summary struct {
	Report pastand.Report
	// Peaks is the most requests that ran at once in each region, by the targets' logs.
	Peaks map[pabundle.RegionName]int
	// OverSlots counts targets that ran more requests at once than they have slots.
	OverSlots int
	Links     []pastand.LinkUse
	// Drains are the times that graceful shutdowns took, by entry VM; CutOff is what they cut off.
	Drains map[string]time.Duration
	CutOff int
	// LeftAfter is how long after its drain began a target still got new work.
	LeftAfter map[string]time.Duration
}

// Summarise collects the summary of a load.
func (w *World) Summarise(ctx context.Context, load string) (Summary, error) {
	r, err := w.Report(load)
	if err != nil {
		return Summary{}, err
	}
	s := Summary{
		Report: r, Peaks: map[pabundle.RegionName]int{},
		Drains: map[string]time.Duration{}, LeftAfter: map[string]time.Duration{},
	}
	if err := w.addExecutions(ctx, &s); err != nil {
		return s, err
	}
	if err := w.addDrains(&s); err != nil {
		return s, err
	}
	return s, w.call(ctx, http.MethodGet, "http://"+w.deployment.Wire()+"/Links", nil, &s.Links)
}

func (w *World) addExecutions(ctx context.Context, s *Summary) error {
	places := w.deployment.places()
	regions := map[pabundle.RegionName][]pastand.Execution{}
	for _, v := range w.deployment.Bundle.Services {
		for _, t := range v.Targets {
			var all []pastand.Execution
			url := "http://" + w.deployment.behind(t.Address).String() + "/Executions"
			if err := w.call(ctx, http.MethodGet, url, nil, &all); err != nil {
				return trace.Wrap(err, "the log of %s", t.Name)
			}
			if peakOf(all) > t.Slots {
				s.OverSlots++
			}
			r := places[t.Zone].Region
			regions[r] = append(regions[r], all...)
			if began, ok := w.drained[string(t.Name)]; ok {
				s.LeftAfter[string(t.Name)] = lastStart(all, began)
			}
		}
	}
	for r, all := range regions {
		s.Peaks[r] = peakOf(all)
	}
	return nil
}

// lastStart is how long after a time the last execution began; 0 if none did.
func lastStart(all []pastand.Execution, after time.Time) time.Duration {
	var last time.Duration
	for _, e := range all {
		last = max(last, e.Started.Sub(after))
	}
	return last
}

// peakOf is the most executions that ran at one time.
func peakOf(all []pastand.Execution) int {
	type edge struct {
		at   time.Time
		step int
	}
	var edges []edge
	for _, e := range all {
		end := e.Ended
		if end.IsZero() {
			end = time.Now()
		}
		edges = append(edges, edge{e.Started, 1}, edge{end, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.step, b.step)
	})
	running, peak := 0, 0
	for _, e := range edges {
		running += e.step
		peak = max(peak, running)
	}
	return peak
}

// addDrains reads the entry VMs' logs for the ends of graceful shutdowns.
func (w *World) addDrains(s *Summary) error {
	for _, e := range w.deployment.Entries {
		f, err := os.Open(filepath.Join(w.directory, string(e.Name)+".log"))
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		for l := bufio.NewScanner(f); l.Scan(); {
			var line struct {
				Number  paevent.Number
				Details paevent.Stopped
			}
			if json.Unmarshal(l.Bytes(), &line) == nil && line.Number == (paevent.Stopped{}).Kind().Number {
				s.Drains[string(e.Name)] = time.Duration(line.Details.DrainMilliseconds) * time.Millisecond
				s.CutOff += line.Details.CutOff
			}
		}
		f.Close()
	}
	return nil
}

// leaveLimit is how long after its first sign a target that leaves may get new work.
const leaveLimit = 3 * time.Second

// Broken lists the promises that the day broke.
func (s Summary) Broken(b pabundle.Bundle) []string {
	var all []string
	o := s.Report.Oracle
	check := func(ok bool, format string, a ...any) {
		if !ok {
			all = append(all, fmt.Sprintf(format, a...))
		}
	}
	check(o != nil, "the targets' logs were not read")
	if o != nil {
		check(o.Duplicates == 0, "%d requests that may run once ran more often", o.Duplicates)
		check(o.FalseNotRun == 0, "%d requests ran although their caller was told that they did not", o.FalseNotRun)
	}
	check(s.Report.Total.Wrong == 0, "%d answers passed for whole and were not the right ones", s.Report.Total.Wrong)
	check(s.CutOff == 0, "%d requests were cut off by planned stops", s.CutOff)
	check(s.OverSlots == 0, "%d targets ran more than their slots", s.OverSlots)
	for _, r := range b.Regions {
		check(s.Peaks[r.Name] <= r.MaxInFlight, "region %s ran %d requests, its limit is %d", r.Name, s.Peaks[r.Name], r.MaxInFlight)
	}
	for _, u := range s.Links {
		limit := capacityOf(b, u.From, u.To)
		check(u.Peak <= limit, "link %s to %s carried %d bit/s, its limit is %d", u.From, u.To, u.Peak, limit)
	}
	for t, d := range s.LeftAfter {
		check(d <= leaveLimit, "target %s got new work %s after it began to leave", t, d)
	}
	return all
}

func capacityOf(b pabundle.Bundle, from, to pabundle.RegionName) pabundle.BitRate {
	for _, l := range b.Links {
		if l.From == from && l.To == to {
			return l.Capacity
		}
	}
	return 0
}

// Print writes the summary as tables.
func (s Summary) Print(out io.Writer, b pabundle.Bundle) error {
	t := &strings.Builder{}
	fmt.Fprintln(t, "service\toffered\tanswered\trefused\tunknown\trepeated\tlate\tlost\tcut off\tP50\tP99\tP99.9\t")
	row := func(name string, f pastand.Figures) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", name, f.Offered, f.Answered, f.Refused, f.Unknown,
			f.Repeated, f.Late, f.Lost, f.CutOff, round(f.Latency.P50), round(f.Latency.P99), round(f.Latency.P999))
	}
	for _, n := range slices.Sorted(maps.Keys(s.Report.Services)) {
		row(n, s.Report.Services[n])
	}
	row("all", s.Report.Total)
	fmt.Fprintln(t)
	fmt.Fprintln(t, "region\tpeak in flight\tlimit\theadroom\t")
	for _, r := range b.Regions {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.0f %%\t\n", r.Name, s.Peaks[r.Name], r.MaxInFlight,
			100*(1-float64(s.Peaks[r.Name])/float64(max(1, r.MaxInFlight))))
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "link\tbytes\tpeak Mbit/s\theadroom\t")
	for _, u := range s.Links {
		limit := capacityOf(b, u.From, u.To)
		fmt.Fprintf(t, "%s to %s\t%d\t%.1f\t%.1f %%\t\n", u.From, u.To, u.Bytes, float64(u.Peak)/1e6, 100*(1-float64(u.Peak)/float64(max(1, limit))))
	}
	fmt.Fprintln(t)
	for _, n := range slices.Sorted(maps.Keys(s.Drains)) {
		fmt.Fprintf(t, "graceful shutdown of %s\t%s\t\n", n, s.Drains[n])
	}
	for _, n := range slices.Sorted(maps.Keys(s.LeftAfter)) {
		fmt.Fprintf(t, "last new work of draining %s\t%s\t\n", n, s.LeftAfter[n].Round(time.Millisecond))
	}
	if o := s.Report.Oracle; o != nil {
		fmt.Fprintf(t, "duplicates of what may run once\t%d\t\nfalse \"not run\"\t%d\t\n", o.Duplicates, o.FalseNotRun)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(w, t.String()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(w.Flush())
}

func round(d pabundle.Duration) time.Duration { return d.Round(time.Millisecond) }

// PrintBroken writes the broken promises, and returns an error if there are any.
func (s Summary) PrintBroken(out io.Writer, b pabundle.Bundle) error {
	broken := s.Broken(b)
	if len(broken) > 0 {
		return trace.CompareFailed("%d promises were broken:\n%s", len(broken), strings.Join(broken, "\n"))
	}
	_, err := fmt.Fprintln(out, "No promise was broken.")
	return trace.Wrap(err)
}
