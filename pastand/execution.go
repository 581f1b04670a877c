package pastand

import (
	"sync"
	"time"
)

// ExecutionOutcome is how an execution ended.
type ExecutionOutcome string

// The outcomes of an execution.
const (
	// Running has not ended yet.
	Running ExecutionOutcome = "Running"
	// Completed ran to its end; its answer may still have been lost.
	Completed ExecutionOutcome = "Completed"
	// Cancelled was given up because the connection closed or the deadline passed.
	Cancelled ExecutionOutcome = "Cancelled"
	// Failed ended by an injected fault.
	Failed ExecutionOutcome = "Failed"
)

// Execution is one run of a request at a target. Requests that were shed have none.
type Execution struct {
	Target   string
	Request  string
	Key      string `json:",omitempty"`
	Method   string
	Class    string `json:",omitempty"`
	Started  time.Time
	Ended    time.Time
	Outcome  ExecutionOutcome
	InFlight int
	// Draining says that the request came in after the drain began.
	Draining bool `json:",omitempty"`
}

// executionLog keeps the executions of a target in the order of their starts.
type executionLog struct {
	mutex sync.Mutex
	all   []Execution
}

// start records the beginning of an execution and returns its place.
func (l *executionLog) start(e Execution) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e.Outcome = Running
	l.all = append(l.all, e)
	return len(l.all) - 1
}

// end records the end of the execution at the place.
func (l *executionLog) end(place int, outcome ExecutionOutcome, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.all[place].Outcome = outcome
	l.all[place].Ended = now
}

// copy returns all executions so far.
func (l *executionLog) copy() []Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Execution(nil), l.all...)
}
