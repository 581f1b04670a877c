package paplatform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"papayahead/pabundle"
)

// Server serves the VM list of a simulated platform over HTTP, and controls fault injection in its store:
//
//	GET, DELETE /Faults       returns or removes the active injections
//	POST /Faults              adds an Injection, or a list of them
//	GET /Counts               returns the store's Counts
//	GET /Machines             returns the VMs, with the lag; with ?Present=true without it
//	POST /Machines/{name}     applies a VMChange
//	POST /MachineFaults       applies a VMListFault
type Server struct {
	Store *MemoryStore
	VMs   *MemoryVMList

	once    sync.Once
	handler http.Handler
}

// VMChange adds, changes or removes a VM. If several fields are set, they apply in their order.
type VMChange struct {
	// Put is the VM to add or replace, if any. Its name is taken from the path.
	Put *VM `json:",omitempty"`
	// State is the new state of the VM, if any.
	State VMState `json:",omitempty"`
	// Remove removes the VM.
	Remove bool `json:",omitempty"`
}

// VMListFault sets the lag and the outage of the VM list.
type VMListFault struct {
	Lag    pabundle.Duration
	Outage bool
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /Counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Store.Counts()) })
	mux.HandleFunc("GET /Faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Store.Injections()) })
	mux.HandleFunc("DELETE /Faults", func(w http.ResponseWriter, _ *http.Request) {
		s.Store.ClearInjections()
		writeJSON(w, struct{}{})
	})
	mux.HandleFunc("POST /Faults", s.inject)
	mux.HandleFunc("GET /Machines", s.listVMs)
	mux.HandleFunc("POST /Machines/{name}", s.changeVM)
	mux.HandleFunc("POST /MachineFaults", s.setVMListFault)
	return mux
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(func() { s.handler = s.routes() })
	s.handler.ServeHTTP(w, r)
}

func (s *Server) inject(w http.ResponseWriter, r *http.Request) {
	data, err := readAll(r.Body, MaxValueSize)
	if err != nil {
		writeError(w, "Faults", errorf(Invalid, "Faults", "%v", err))
		return
	}
	var many []Injection
	if json.Unmarshal(data, &many) != nil {
		var one Injection
		if err := json.Unmarshal(data, &one); err != nil {
			writeError(w, "Faults", errorf(Invalid, "Faults", "%v", err))
			return
		}
		many = []Injection{one}
	}
	for _, i := range many {
		switch i.Effect {
		case Outage, Slow, LostBefore, LostAfter, LostLate:
		default:
			writeError(w, "Faults", errorf(Invalid, "Faults",
				"unknown Effect %q, want Outage, Slow, LostBefore, LostAfter or LostLate", i.Effect))
			return
		}
	}
	s.Store.Inject(many...)
	writeJSON(w, s.Store.Injections())
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("Present") == "true" {
		writeJSON(w, s.VMs.Current())
		return
	}
	all, err := s.VMs.List(r.Context())
	if err != nil {
		writeError(w, "Machines", err)
		return
	}
	writeJSON(w, all)
}

func (s *Server) changeVM(w http.ResponseWriter, r *http.Request) {
	var q VMChange
	if !decodeBody(w, r, &q) {
		return
	}
	name := r.PathValue("name")
	if q.Put != nil {
		q.Put.Name = name
		s.VMs.Put(*q.Put)
	}
	if q.State != "" && !s.VMs.SetState(name, q.State) {
		writeError(w, Key(name), errorf(NotFound, Key(name), "no such VM"))
		return
	}
	if q.Remove {
		s.VMs.Remove(name)
	}
	writeJSON(w, s.VMs.Current())
}

func (s *Server) setVMListFault(w http.ResponseWriter, r *http.Request) {
	var q VMListFault
	if !decodeBody(w, r, &q) {
		return
	}
	s.VMs.SetLag(q.Lag.Duration)
	s.VMs.SetOutage(q.Outage)
	writeJSON(w, q)
}

// decodeBody decodes the JSON body of a request. On failure it writes an Invalid error and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := readAll(r.Body, MaxValueSize)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		writeError(w, Key(r.URL.Path), errorf(Invalid, Key(r.URL.Path), "%v", err))
		return false
	}
	return true
}

// writeJSON responds with v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError responds with the error, or aborts the response if the fault is Unknown: an injected loss of the reply.
func writeError(w http.ResponseWriter, key Key, err error) {
	e := &Error{Fault: FaultOf(err), Key: key, Detail: err.Error()}
	var typed *Error
	if errors.As(err, &typed) {
		e = typed
	}
	if e.Fault == Unknown {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(e.Fault))
	_ = json.NewEncoder(w).Encode(e)
}

func statusOf(f Fault) int {
	switch f {
	case Conflict:
		return http.StatusConflict
	case NotFound:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case LeaseLapsed:
		return http.StatusGone
	case Invalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// readAll reads until EOF. It fails if there are more than limit bytes.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("body exceeds %d bytes", limit)
	}
	return data, nil
}
