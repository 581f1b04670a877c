package paevent

import (
	"encoding/json"
	"sync"

	"github.com/rs/zerolog"
)

// DefaultRingSize is the number of records that a Recorder keeps if RecorderConfig.RingSize is 0.
//
// It covers the last minutes of a busy entry VM, which operators look at after a fault. At about 400 bytes
// a record the ring takes less than 4 MB of the 256 MB that the control plane may use.
const DefaultRingSize = 8192

// Record is one event of one process on the time line.
type Record struct {
	Stamp   Stamp
	Process string
	Number  Number
	Name    string
	Level   string
	Text    string
	// Event holds the details as JSON.
	Event json.RawMessage
}

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	// Process names the process on the time line.
	Process string
	// Log receives each event.
	Log zerolog.Logger
	// Clock stamps the events.
	Clock Clock
	// RingSize is the number of records kept; 0 means DefaultRingSize.
	RingSize int
}

// Recorder logs events and keeps the latest. It is safe for concurrent use.
type Recorder struct {
	// Stamps is the process's hybrid logical clock, which also stamps its messages.
	Stamps Stamper

	process string
	log     zerolog.Logger
	mu      sync.Mutex
	ring    []Record
	next    int
	counts  map[Number]uint64
}

// NewRecorder returns a Recorder for one process.
func NewRecorder(c RecorderConfig) *Recorder {
	if c.RingSize <= 0 {
		c.RingSize = DefaultRingSize
	}
	return &Recorder{
		Stamps:  Stamper{Clock: c.Clock},
		process: c.Process,
		log:     c.Log,
		ring:    make([]Record, 0, c.RingSize),
		counts:  map[Number]uint64{},
	}
}

// Record stamps the event, writes it to the log and keeps it for the time line. It panics if the event
// cannot be encoded as JSON.
func (r *Recorder) Record(e Event) {
	k := e.Kind()
	details, err := json.Marshal(e)
	if err != nil {
		panic("paevent: event " + k.Name + " cannot be written as JSON: " + err.Error())
	}
	s := r.Stamps.Next()
	r.log.WithLevel(zerologLevel(k.Level)).
		Int("Number", int(k.Number)).
		Str("Event", k.Name).
		Str("Stamp", s.String()).
		RawJSON("Details", details).
		Msg(k.Text)
	r.keep(Record{
		Stamp: s, Process: r.process, Number: k.Number, Name: k.Name,
		Level: k.Level.String(), Text: k.Text, Event: details,
	})
}

func (r *Recorder) keep(c Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[c.Number]++
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, c)
		return
	}
	r.ring[r.next] = c
	r.next = (r.next + 1) % len(r.ring)
}

// Records returns the kept records, oldest first.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Record, 0, len(r.ring))
	all = append(all, r.ring[r.next:]...)
	return append(all, r.ring[:r.next]...)
}

// Count returns the number of events recorded with this number, including those that left the ring.
func (r *Recorder) Count(n Number) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[n]
}

func zerologLevel(l Level) zerolog.Level {
	switch l {
	case Info:
		return zerolog.InfoLevel
	case Warning:
		return zerolog.WarnLevel
	default:
		return zerolog.ErrorLevel
	}
}
