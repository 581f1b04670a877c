package pascenario

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"papayahead/paentry"
	"papayahead/paevent"
)

// requestsMetric begins the lines of the counter of requests by service, outcome and reason.
const requestsMetric = "papayahead_requests_total{"

// Reasons adds up, over all entry VMs that answer, how requests ended other than by an answer.
func (w *World) Reasons(ctx context.Context) []string {
	sums := map[string]int64{}
	for _, e := range w.deployment.Entries {
		w.addReasons(ctx, e, sums)
	}
	var all []string
	for _, k := range slices.Sorted(maps.Keys(sums)) {
		all = append(all, fmt.Sprintf("%s %d", k, sums[k]))
	}
	return all
}

func (w *World) addReasons(ctx context.Context, e EntryVM, sums map[string]int64) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.deployment.Operators(e).String()+paentry.MetricsPath, nil)
	if err != nil {
		return
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return
	}
	defer r.Body.Close()
	for s := bufio.NewScanner(r.Body); s.Scan(); {
		labels, ok := strings.CutPrefix(s.Text(), requestsMetric)
		if !ok || strings.Contains(labels, `outcome="Answered",reason=""`) {
			continue
		}
		labels, count, _ := strings.Cut(labels, "} ")
		var n int64
		if _, err := fmt.Sscan(count, &n); err == nil {
			sums[labels] += n
		}
	}
}

// lostMost bounds the lost attempts that a failed check shows.
const lostMost = 20

// lostAttempts returns the load's first attempts that ended without an answer, as its log has them.
func (w *World) lostAttempts(name string) []string {
	f, err := os.Open(filepath.Join(w.directory, name+".log"))
	if err != nil {
		return []string{err.Error()}
	}
	defer f.Close()
	records, _, err := paevent.ReadLog(f)
	if err != nil {
		return []string{err.Error()}
	}
	lost := paevent.AttemptLost{}.Kind()
	var all []string
	for _, r := range records {
		if r.Number == lost.Number && len(all) < lostMost {
			all = append(all, fmt.Sprintf("%s %s %s", r.Stamp, r.Name, r.Event))
		}
	}
	return all
}
