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

// Server serves the VM list of a stand-in for the platform over HTTP, and the faults of its store:
//
//	GET, DELETE /Faults       the injections in force; DELETE heals all
//	POST /Faults              an Injection, or a list of them
//	GET /Counts               the store's Counts
//	GET /Machines             the VMs, with the lag; ?Present=true shows them without
//	POST /Machines/{name}     a MachineChange
//	POST /MachineFaults       a MachineFault
type Server struct {
	Store *MemoryStore
	VMs   *MemoryVMList

	once  sync.Once
	inner http.Handler
}

// VMChange adds or changes a VM, marks it or removes it.
type VMChange struct {
	// Put is the VM to add or change, if any; its name is that of the path.
	Put *VM `json:",omitempty"`
	// State marks the VM, if any.
	State VMState `json:",omitempty"`
	// Remove takes the VM off the list.
	Remove bool `json:",omitempty"`
}

// VMListFault makes the VM list lag or fail.
type VMListFault struct {
	Lag    pabundle.Duration
	Outage bool
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /Counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Store.Counts()) })
	mux.HandleFunc("GET /Faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Store.Injections()) })
	mux.HandleFunc("DELETE /Faults", func(w http.ResponseWriter, _ *http.Request) { s.Store.ClearInjections(); reply(w, struct{}{}) })
	mux.HandleFunc("POST /Faults", s.inject)
	mux.HandleFunc("GET /Machines", s.list)
	mux.HandleFunc("POST /Machines/{name}", s.change)
	mux.HandleFunc("POST /MachineFaults", s.machineFault)
	return mux
}

// ServeHTTP serves one request of the stand-in.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(func() { s.inner = s.routes() })
	s.inner.ServeHTTP(w, r)
}

func (s *Server) inject(w http.ResponseWriter, r *http.Request) {
	data, err := readAll(r.Body, MaxValueSize)
	if err != nil {
		refuse(w, "Faults", fail(Invalid, "Faults", "%v", err))
		return
	}
	var many []Injection
	if json.Unmarshal(data, &many) != nil {
		var one Injection
		if err := json.Unmarshal(data, &one); err != nil {
			refuse(w, "Faults", fail(Invalid, "Faults", "%v", err))
			return
		}
		many = []Injection{one}
	}
	for _, i := range many {
		switch i.Effect {
		case Outage, Slow, LostBefore, LostAfter, LostLate:
		default:
			refuse(w, "Faults", fail(Invalid, "Faults", "Effect %q given, want Outage, Slow, LostBefore, LostAfter or LostLate", i.Effect))
			return
		}
	}
	s.Store.Inject(many...)
	reply(w, s.Store.Injections())
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("Present") == "true" {
		reply(w, s.VMs.Current())
		return
	}
	all, err := s.VMs.List(r.Context())
	if err != nil {
		refuse(w, "Machines", err)
		return
	}
	reply(w, all)
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	var q VMChange
	if !take(w, r, &q) {
		return
	}
	name := r.PathValue("name")
	if q.Put != nil {
		q.Put.Name = name
		s.VMs.Put(*q.Put)
	}
	if q.State != "" && !s.VMs.SetState(name, q.State) {
		refuse(w, Key(name), fail(NotFound, Key(name), "no such VM"))
		return
	}
	if q.Remove {
		s.VMs.Remove(name)
	}
	reply(w, s.VMs.Current())
}

func (s *Server) machineFault(w http.ResponseWriter, r *http.Request) {
	var q VMListFault
	if !take(w, r, &q) {
		return
	}
	s.VMs.SetLag(q.Lag.Duration)
	s.VMs.SetOutage(q.Outage)
	reply(w, q)
}

// take reads a request's JSON, or refuses it.
func take(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := readAll(r.Body, MaxValueSize)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		refuse(w, Key(r.URL.Path), fail(Invalid, Key(r.URL.Path), "%v", err))
		return false
	}
	return true
}

// reply answers with JSON.
func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// refuse answers with the error, or with silence where the injected fault is a lost reply.
func refuse(w http.ResponseWriter, key Key, err error) {
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

// readAll reads at most limit bytes and fails on more.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("over %d bytes", limit)
	}
	return data, nil
}
