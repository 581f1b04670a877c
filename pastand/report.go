package pastand

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayahead/pabundle"
)

// Report is what the callers saw, with the targets' log set against it by Check.
type Report struct {
	Began, Ended time.Time
	// Services holds the figures of each service; Total those of all.
	Services map[string]Figures
	Total    Figures
	// Oracle is what the targets' executions say; nil until Check.
	Oracle *Oracle `json:",omitempty"`

	posts map[string]bool
	// notRun holds the requests of which the caller was told that they did not run.
	notRun map[string]bool
}

// Figures count requests by their end.
type Figures struct {
	Offered, Answered, Late, Refused, Unknown, Lost, CutOff, Wrong, Failed int64
	// Repeated counts requests of which another copy was answered.
	Repeated int64
	// NotOffered counts starts that were left out because too many requests were in flight.
	NotOffered int64
	// Attempts counts all attempts; AnsweredAgain the answers that took more than one.
	Attempts, AnsweredAgain int64
	LookUps, LookUpsFailed  int64
	// Latency is of answers and Refusal of refusals, both from the intended start.
	Latency, Refusal Percentiles
}

// Percentiles are times at ranks of a distribution.
type Percentiles struct {
	P50, P90, P99, P999, Max pabundle.Duration
}

// Oracle sets the targets' executions against what callers were told.
type Oracle struct {
	Executions int
	// Duplicates counts requests that may run once and ran more often.
	Duplicates int
	// FalseNotRun counts requests that ran though their caller was told that they did not.
	FalseNotRun int
	// AfterDrain counts executions that began at a target that was draining.
	AfterDrain int
	// Examples names some of the requests concerned.
	Examples []string `json:",omitempty"`
}

// Broken says that a promise was broken, whatever failed during the run.
func (r Report) Broken() bool {
	o := r.Oracle
	return r.Total.Wrong > 0 || o != nil && (o.Duplicates > 0 || o.FalseNotRun > 0)
}

// maxExamples bounds the examples in an Oracle.
const maxExamples = 10

// Check sets the executions of all targets against the report.
func (r *Report) Check(executions []Execution) {
	o := &Oracle{}
	runs := map[string]int{}
	for _, e := range executions {
		if _, ours := r.posts[e.Request]; !ours {
			continue
		}
		o.Executions++
		runs[e.Request]++
		if e.Draining {
			o.AfterDrain++
		}
	}
	for id, n := range runs {
		duplicate, denied := n > 1 && r.posts[id], r.notRun[id]
		if duplicate {
			o.Duplicates++
		}
		if denied {
			o.FalseNotRun++
		}
		if (duplicate || denied) && len(o.Examples) < maxExamples {
			o.Examples = append(o.Examples, id)
		}
	}
	r.Oracle = o
}

// The range of the histograms, in microseconds, and their significant figures.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// tally collects the figures of one service.
type tally struct {
	figures          Figures
	latency, refusal *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		latency: hdrhistogram.New(1, histogramMax, histogramDigits),
		refusal: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// recorder collects the ends of requests.
type recorder struct {
	mutex    sync.Mutex
	begun    time.Time
	services map[string]*tally
	posts    map[string]bool
	notRun   map[string]bool
}

// of returns the service's tally; the caller holds the lock.
func (r *recorder) of(service string) *tally {
	if r.services == nil {
		r.services = map[string]*tally{}
		r.posts, r.notRun = map[string]bool{}, map[string]bool{}
	}
	t := r.services[service]
	if t == nil {
		t = newTally()
		r.services[service] = t
	}
	return t
}

func (r *recorder) notOffered(service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.of(service).figures.NotOffered++
}

func (r *recorder) lookUp(service string, failed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f := &r.of(service).figures
	f.LookUps++
	if failed {
		f.LookUpsFailed++
	}
}

// add records the end of a request.
func (r *recorder) add(q request, x result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t := r.of(q.load.Service)
	r.posts[q.identity] = q.load.Method == http.MethodPost
	if x.notRun {
		r.notRun[q.identity] = true
	}
	t.figures.count(x)
	switch x.end {
	case EndAnswered, EndLate:
		_ = t.latency.RecordValue(min(x.took.Microseconds(), histogramMax))
	case EndRefused:
		_ = t.refusal.RecordValue(min(x.took.Microseconds(), histogramMax))
	}
}

// count adds one end.
func (f *Figures) count(x result) {
	f.Offered++
	f.Attempts += int64(x.attempts)
	if x.end == EndAnswered && x.attempts > 1 {
		f.AnsweredAgain++
	}
	switch x.end {
	case EndAnswered:
		f.Answered++
	case EndLate:
		f.Late++
	case EndRefused:
		f.Refused++
	case EndUnknown:
		f.Unknown++
	case EndCutOff:
		f.CutOff++
	case EndRepeated:
		f.Repeated++
	case EndWrong:
		f.Wrong++
	case EndFailed:
		f.Failed++
	default:
		f.Lost++
	}
}

// add adds the counts of another.
func (f *Figures) add(g Figures) {
	f.Offered += g.Offered
	f.Answered += g.Answered
	f.Late += g.Late
	f.Refused += g.Refused
	f.Unknown += g.Unknown
	f.Lost += g.Lost
	f.CutOff += g.CutOff
	f.Wrong += g.Wrong
	f.Failed += g.Failed
	f.Repeated += g.Repeated
	f.NotOffered += g.NotOffered
	f.Attempts += g.Attempts
	f.AnsweredAgain += g.AnsweredAgain
	f.LookUps += g.LookUps
	f.LookUpsFailed += g.LookUpsFailed
}

// report returns the report so far.
func (r *recorder) report(now time.Time) Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x := Report{Began: r.begun, Ended: now, Services: map[string]Figures{}, posts: r.posts, notRun: r.notRun}
	all := newTally()
	for name, t := range r.services {
		f := t.figures
		f.Latency, f.Refusal = percentiles(t.latency), percentiles(t.refusal)
		x.Services[name] = f
		x.Total.add(t.figures)
		all.latency.Merge(t.latency)
		all.refusal.Merge(t.refusal)
	}
	x.Total.Latency, x.Total.Refusal = percentiles(all.latency), percentiles(all.refusal)
	return x
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(rank float64) pabundle.Duration {
		return pabundle.Duration{Duration: time.Duration(h.ValueAtQuantile(rank)) * time.Microsecond}
	}
	return Percentiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
}
