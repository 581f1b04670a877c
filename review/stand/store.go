package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its tombstone.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store (PROTOCOL.md): linearizable, one revision counter, leases.
type store struct {
	mutex   sync.Mutex
	changed chan struct{}
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	next    int64
	// refuse, if it is set, says for a call of a machine whether to answer 503: the store turns some machines away.
	refuse func(machine, path string) bool
}

func newStore() *store {
	return &store{rev: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// listen serves the store at an address and ends leases.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /papayahead/kv-key", s.get)
	mux.HandleFunc("GET /papayahead/kv-range", s.list)
	mux.HandleFunc("GET /papayahead/kv-watch", s.watch)
	mux.HandleFunc("POST /papayahead/kv-txn", s.txn)
	mux.HandleFunc("POST /papayahead/kv-lease", s.grant)
	mux.HandleFunc("POST /papayahead/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /papayahead/kv-lease-end/{id}", s.end)
	guarded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		refuse := s.refuse
		s.mutex.Unlock()
		if refuse != nil && refuse(r.UserAgent(), r.URL.Path) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	go http.Serve(l, guarded)
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return nil
}

// setRefuse sets which calls are answered 503.
func (s *store) setRefuse(f func(machine, path string) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refuse = f
}

func (s *store) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.change(item{Key: k, Tombstone: true})
		}
	}
}

// change applies a write; the mutex is held.
func (s *store) change(i item) int64 {
	s.rev++
	i.Revision = s.rev
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.CreateRev = s.rev
		if old, ok := s.items[i.Key]; ok {
			i.CreateRev = old.CreateRev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.change(item{Key: key, Value: b})
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; ok {
		s.change(item{Key: key, Tombstone: true})
	}
}

// count returns how many keys begin with a prefix.
func (s *store) count(prefix string) (n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	all := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			all = append(all, i)
		}
	}
	rev := s.rev
	s.mutex.Unlock()
	sort.Slice(all, func(a, b int) bool { return all[a].Key < all[b].Key })
	more := len(all) > page
	if more {
		all = all[:page]
	}
	reply(w, http.StatusOK, map[string]any{"items": all, "morePages": more, "currentRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []item{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, i := range s.history[from:] {
			if strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mutex.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if over || len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Deletes []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	holds, now := true, []item{}
	for _, e := range t.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		now = append(now, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, i := range t.Writes {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range t.Writes {
		s.change(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, k := range t.Deletes {
		s.change(item{Key: k, Tombstone: true})
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct{ TTLMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	ttl := time.Duration(q.TTLMs) * time.Millisecond
	s.leases[s.next] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.next, "ttlMs": q.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
