package paevent

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Filter selects records; an unset field matches all.
type Filter struct {
	Request  string
	Service  string
	Sequence uint64
	Process  string
	// From and To bound the wall time, From inclusive, To exclusive.
	From, To time.Time
}

// Matches reports whether the record passes the filter.
func (f Filter) Matches(r Record) bool {
	t := r.Stamp.Time()
	if !f.From.IsZero() && t.Before(f.From) || !f.To.IsZero() && !t.Before(f.To) {
		return false
	}
	if f.Process != "" && f.Process != r.Process {
		return false
	}
	if f.Request == "" && f.Service == "" && f.Sequence == 0 {
		return true
	}
	var s Subject
	if err := json.Unmarshal(r.Event, &s); err != nil {
		return false
	}
	return (f.Request == "" || f.Request == s.Request) &&
		(f.Service == "" || f.Service == s.Service) &&
		(f.Sequence == 0 || f.Sequence == s.Sequence)
}

// Merge returns the records of several processes that match the filter, in the causal order of their stamps.
func Merge(f Filter, processes ...[]Record) []Record {
	var all []Record
	for _, p := range processes {
		for _, r := range p {
			if f.Matches(r) {
				all = append(all, r)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Record) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		default:
			return 0
		}
	})
	return all
}

// WriteText writes one line of text per record.
func WriteText(w io.Writer, records []Record) error {
	for _, r := range records {
		_, err := fmt.Fprintf(w, "%s %-16s %d %-5s %-22s %s\n",
			r.Stamp.Time().Format("15:04:05.000000"), r.Process, r.Number, r.Level, r.Name, r.Event)
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// WriteJSON writes one line of JSON per record.
func WriteJSON(w io.Writer, records []Record) error {
	e := json.NewEncoder(w)
	for _, r := range records {
		if err := e.Encode(r); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// TimelinePath is the HTTP path at which every process serves its records as JSON lines.
const TimelinePath = "/Timeline"

// ServeHTTP serves the kept records as JSON lines.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	// An error means that the client closed the connection; there is nobody to report it to.
	_ = WriteJSON(w, r.Records())
}

// ReadRecords reads JSON lines until EOF, but at most maximum records. On an error it also returns the records
// read before.
func ReadRecords(r io.Reader, maximum int) ([]Record, error) {
	d := json.NewDecoder(r)
	var all []Record
	for len(all) < maximum {
		var c Record
		err := d.Decode(&c)
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, trace.Wrap(err, "record %d", len(all)+1)
		}
		all = append(all, c)
	}
	return all, nil
}
