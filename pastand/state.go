package pastand

import (
	"encoding/json"
	"net/http"
	"time"
)

// TargetLoad is what GET /Load answers.
type TargetLoad struct {
	Target   string
	InFlight int
	Waiting  int
	Slots    int
}

// State is a target's own word on itself.
type State string

// The states that GET /Health answers.
const (
	Serving  State = "Serving"
	Draining State = "Draining"
	Failing  State = "Failing"
)

// Health is what GET /Health answers.
type Health struct {
	Target string
	State  State
}

// report is the state of the target at one time, kept for answers that lag.
type report struct {
	at     time.Time
	load   TargetLoad
	health Health
}

// Executions returns all executions so far, in the order of their starts.
func (t *Target) Executions() []Execution { return t.log.copy() }

// InFlight returns the number of requests that run now.
func (t *Target) InFlight() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.inFlight
}

// current returns the reports' truth; the caller holds the lock.
func (t *Target) current() report {
	r := report{
		at:     t.Clock.Now(),
		load:   TargetLoad{Target: t.Name, InFlight: t.inFlight, Waiting: t.waiting, Slots: t.Slots},
		health: Health{Target: t.Name, State: Serving},
	}
	if t.faults.FastFail {
		r.health.State = Failing
	}
	if t.faults.Drain {
		r.health.State = Draining
	}
	return r
}

// told returns what the endpoints say: old, or a lie, where that is asked for.
func (t *Target) told() report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.current()
	if t.faults.LieHealthy {
		return report{
			load:   TargetLoad{Target: t.Name, Slots: t.Slots},
			health: Health{Target: t.Name, State: Serving},
		}
	}
	if t.ReportLag <= 0 {
		return now
	}
	t.reports = append(t.reports, now)
	for len(t.reports) > 1 && now.at.Sub(t.reports[1].at) >= t.ReportLag {
		t.reports = t.reports[1:]
	}
	return t.reports[0]
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.told().health) }

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.told().load) }

func (t *Target) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Executions())
}

func (t *Target) serveFaults(w http.ResponseWriter, _ *http.Request) {
	t.mutex.Lock()
	f := t.faults
	t.mutex.Unlock()
	writeJSON(w, f)
}

// maxFaultsBytes bounds the body of POST /Faults.
const maxFaultsBytes = 16 << 10

func (t *Target) replaceFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.Inject(f)
	w.WriteHeader(http.StatusNoContent)
}

// writeJSON answers with one JSON value; a caller that went away meanwhile is no fault.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
