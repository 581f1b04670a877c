package pagate

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"papayahead/pafleet"
	"papayahead/paplatform"
)

const (
	// modelPage is how many items the store returns at once.
	modelPage = 140
	// modelItemBytes is the size of a registration as it is sent.
	modelItemBytes = 1750
	// modelAnswer is how long the store takes for an answer.
	modelAnswer = 4 * time.Millisecond
)

// storeFault is what the store, or the path to it, does to the calls of one entry VM.
type storeFault struct {
	// refuses ends each call at once with this fault.
	refuses paplatform.Fault
	// silent lets calls hang.
	silent bool
}

// modelStore is the platform's store, as modelled for fleets of entry VMs in virtual time.
type modelStore struct {
	mutex    sync.Mutex
	network  *modelNetwork
	revision pafleet.Revision
	// items are the current values, writes all of them after the revision compacted, in order.
	items     map[string]pafleet.Change
	writes    []pafleet.Change
	compacted pafleet.Revision
	changed   chan struct{}
	// cut is closed when all watches are cut.
	cut    chan struct{}
	faults map[string]storeFault
	// slow multiplies the time of an answer; deaf is set while watches hear nothing.
	slow   float64
	deaf   bool
	leases int
	// lapses has registrations end with their leases; they stay otherwise.
	lapses  bool
	byLease map[paplatform.LeaseID]*modelLease
	calls   map[string]int
}

// modelLease is a lease of the store and the entry VM that is registered under it.
type modelLease struct {
	ttl     time.Duration
	expires *time.Timer
	entry   string
}

func newModelStore(n *modelNetwork) *modelStore {
	return &modelStore{
		network: n, items: map[string]pafleet.Change{}, changed: make(chan struct{}), cut: make(chan struct{}),
		faults: map[string]storeFault{}, slow: 1, calls: map[string]int{}, byLease: map[paplatform.LeaseID]*modelLease{},
	}
}

// write applies a change that is made with its revision; it replaces what stood under the key.
func (s *modelStore) write(key string, change func(r pafleet.Revision) pafleet.Change) pafleet.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writeLocked(key, change)
}

func (s *modelStore) writeLocked(key string, change func(r pafleet.Revision) pafleet.Change) pafleet.Revision {
	s.revision++
	c := change(s.revision)
	switch c.(type) {
	case pafleet.TargetRemoved, pafleet.EntryRemoved, pafleet.ZoneRestored:
		delete(s.items, key)
	default:
		s.items[key] = c
	}
	s.writes = append(s.writes, c)
	if !s.deaf {
		s.wakeWatches()
	}
	return s.revision
}

// loseHistory lets watches hear nothing for a time, then drops the history and cuts the watches.
func (s *modelStore) loseHistory(deaf time.Duration) {
	s.setDeaf(true)
	time.Sleep(deaf)
	s.dropHistory()
}

// dropHistory drops the history and cuts the watches, which hear of changes again.
func (s *modelStore) dropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deaf = false
	s.compacted, s.writes = s.revision, nil
	close(s.cut)
	s.cut = make(chan struct{})
	s.wakeWatches()
}

func (s *modelStore) setDeaf(deaf bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deaf = deaf
}

// setFault begins or ends a fault of the calls of one entry VM; watches that wait have it too.
func (s *modelStore) setFault(name string, f storeFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[name] = f
	s.wakeWatches()
}

// wakeWatches lets the watches that wait look again. The mutex is held.
func (s *modelStore) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *modelStore) setSlow(x float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slow = x
}

func (s *modelStore) totalCalls() (n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.calls {
		n += c
	}
	return n
}

func (s *modelStore) callsOf(name string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[name]
}

// of returns the store as one entry VM reaches it.
func (s *modelStore) of(g *modelEntry) Registry { return &modelRegistry{store: s, entry: g} }

// modelRegistry is the Registry of one entry VM.
type modelRegistry struct {
	store *modelStore
	entry *modelEntry
}

// call lets a call take its time on the network and at the store.
func (r *modelRegistry) call(ctx context.Context, name string) error {
	s := r.store
	s.mutex.Lock()
	s.calls[name]++
	f, answer := s.faults[r.entry.name], time.Duration(float64(modelAnswer)*s.slow)
	s.mutex.Unlock()
	if !f.silent && !s.network.isCutOff(r.entry) {
		if err := sleepUntil(ctx, time.Now().Add(2*s.network.delayTo(r.entry)+answer)); err != nil {
			return modelError(paplatform.Unavailable, err)
		}
	}
	return r.fault(ctx)
}

// callPage is call for a page of a listing, which the store's client bounds by itself.
func (r *modelRegistry) callPage(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.call(ctx, name)
}

// fault ends a call if the store, or the path to it, fails for the entry VM.
func (r *modelRegistry) fault(ctx context.Context) error {
	s := r.store
	s.mutex.Lock()
	f := s.faults[r.entry.name]
	s.mutex.Unlock()
	switch {
	case f.silent || s.network.isCutOff(r.entry):
		<-ctx.Done()
		return modelError(paplatform.Unavailable, ctx.Err())
	case f.refuses != paplatform.None:
		return modelError(f.refuses, nil)
	}
	return nil
}

func modelError(f paplatform.Fault, cause error) error {
	return &paplatform.Error{Fault: f, Detail: fmt.Sprint(cause)}
}

func sleepUntil(ctx context.Context, t time.Time) error {
	select {
	case <-time.After(time.Until(t)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receive lets an answer of a size arrive.
func (r *modelRegistry) receive(ctx context.Context, bytes int) error {
	if err := sleepUntil(ctx, r.store.network.fromStore(r.entry, bytes)); err != nil {
		return modelError(paplatform.Unavailable, err)
	}
	return nil
}

// List implements Registry. Its pages are no snapshot.
func (r *modelRegistry) List(ctx context.Context, scope Scope) (all []pafleet.Change, at pafleet.Revision, err error) {
	after, prefix, name := "", "", "List"
	if scope == OperatorKeys {
		prefix, name = "op/", "ListOperator"
	}
	for {
		if err := r.callPage(ctx, name); err != nil {
			return nil, 0, err
		}
		page, revision, more := r.store.page(prefix, after)
		if at == 0 {
			at = revision
		}
		for _, i := range page {
			all = append(all, i.change)
		}
		if err := r.receive(ctx, len(page)*modelItemBytes); err != nil {
			return nil, 0, err
		}
		if !more {
			return all, at, nil
		}
		after = page[len(page)-1].key
	}
}

type modelItem struct {
	key    string
	change pafleet.Change
}

func (s *modelStore) page(prefix, after string) (page []modelItem, at pafleet.Revision, more bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if k <= after || !strings.HasPrefix(k, prefix) {
			continue
		}
		if len(page) == modelPage {
			return page, s.revision, true
		}
		page = append(page, modelItem{k, s.items[k]})
	}
	return page, s.revision, false
}

// Watch implements Registry.
func (r *modelRegistry) Watch(
	ctx context.Context, scope Scope, after pafleet.Revision, wait time.Duration,
) ([]pafleet.Change, pafleet.Revision, error) {
	if scope == OperatorKeys {
		return r.watch(ctx, "WatchOperator", after, wait, isOperators)
	}
	return r.watch(ctx, "Watch", after, wait, func(pafleet.Change) bool { return true })
}

func isOperators(c pafleet.Change) bool {
	switch c.(type) {
	case pafleet.ConfigUpdated, pafleet.ZoneEvacuated, pafleet.ZoneRestored:
		return true
	}
	return false
}

func (r *modelRegistry) watch(
	ctx context.Context, name string, after pafleet.Revision, wait time.Duration, match func(pafleet.Change) bool,
) ([]pafleet.Change, pafleet.Revision, error) {
	if err := r.call(ctx, name); err != nil {
		return nil, 0, err
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	s := r.store
	for {
		if err := r.fault(ctx); err != nil {
			return nil, 0, err
		}
		s.mutex.Lock()
		changes, at, changed, cut, deaf := s.after(after, match), s.revision, s.changed, s.cut, s.deaf
		lost := after < s.compacted
		s.mutex.Unlock()
		switch {
		case deaf:
			// Nothing is said, not even that the wait has passed.
			select {
			case <-cut:
			case <-ctx.Done():
			}
			return nil, 0, modelError(paplatform.Unavailable, ctx.Err())
		case lost:
			return nil, 0, modelError(paplatform.HistoryLost, nil)
		case len(changes) > 0:
			if err := r.receive(ctx, len(changes)*modelItemBytes); err != nil {
				return nil, 0, err
			}
			return changes, at, nil
		}
		select {
		case <-changed:
		case <-until.C:
			return nil, at, nil
		case <-cut:
			return nil, 0, modelError(paplatform.Unavailable, nil)
		case <-ctx.Done():
			return nil, 0, modelError(paplatform.Unavailable, ctx.Err())
		}
	}
}

// after returns the writes after a revision. The mutex is held.
func (s *modelStore) after(r pafleet.Revision, match func(pafleet.Change) bool) (all []pafleet.Change) {
	if r < s.compacted {
		return nil
	}
	for _, c := range s.writes[min(len(s.writes), int(r-s.compacted)):] {
		if match(c) {
			all = append(all, c)
		}
	}
	return all
}

// endLease ends a lease, and the registration under it.
func (s *modelStore) endLease(id paplatform.LeaseID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.byLease[id]
	if l == nil {
		return
	}
	l.expires.Stop()
	delete(s.byLease, id)
	key := "papayahead/entries/" + l.entry
	e, ok := s.items[key].(pafleet.EntryUpdated)
	if !ok || slices.ContainsFunc(slices.Collect(maps.Values(s.byLease)), func(o *modelLease) bool { return o.entry == l.entry }) {
		return
	}
	s.writeLocked(key, func(r pafleet.Revision) pafleet.Change { return pafleet.EntryRemoved{Name: e.Entry.Name, Revision: r} })
}

// GrantLease implements Registry.
func (r *modelRegistry) GrantLease(ctx context.Context, ttl time.Duration) (paplatform.LeaseID, error) {
	if err := r.call(ctx, "Lease"); err != nil {
		return "", err
	}
	s := r.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leases++
	id := paplatform.LeaseID(strconv.Itoa(s.leases))
	if s.lapses {
		s.byLease[id] = &modelLease{ttl: ttl, expires: time.AfterFunc(ttl, func() { s.endLease(id) })}
	}
	return id, nil
}

// RenewLease implements Registry.
func (r *modelRegistry) RenewLease(ctx context.Context, id paplatform.LeaseID) error {
	if err := r.call(ctx, "Renew"); err != nil {
		return err
	}
	s := r.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if l := s.byLease[id]; l != nil {
		l.expires.Reset(l.ttl)
	} else if s.lapses {
		return modelError(paplatform.LeaseLapsed, nil)
	}
	return nil
}

// RevokeLease implements Registry.
func (r *modelRegistry) RevokeLease(ctx context.Context, id paplatform.LeaseID) error {
	if err := r.call(ctx, "End"); err != nil {
		return err
	}
	r.store.endLease(id)
	return nil
}

// Register implements Registry.
func (r *modelRegistry) Register(ctx context.Context, e pafleet.Entry, id paplatform.LeaseID) error {
	if err := r.call(ctx, "Announce"); err != nil {
		return err
	}
	s := r.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if l := s.byLease[id]; l != nil {
		l.entry = e.Name
	} else if s.lapses {
		return modelError(paplatform.LeaseLapsed, nil)
	}
	s.writeLocked("papayahead/entries/"+e.Name, func(at pafleet.Revision) pafleet.Change {
		e.Revision = at
		return pafleet.EntryUpdated{Entry: e}
	})
	return nil
}

// SaveWarmNotes implements Registry.
func (r *modelRegistry) SaveWarmNotes(ctx context.Context, _ []pafleet.WarmNote) error {
	return r.call(ctx, "KeepWarm")
}

// ClaimLimiter implements Registry.
func (r *modelRegistry) ClaimLimiter(
	ctx context.Context, name string, expected pafleet.Revision, _ paplatform.LeaseID,
) (pafleet.Revision, error) {
	if err := r.call(ctx, "Claim"); err != nil {
		return 0, err
	}
	s := r.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	const key = "papayahead/limiter"
	var at pafleet.Revision
	if l, ok := s.items[key].(pafleet.LimiterUpdated); ok {
		at = l.Revision
	}
	if at != expected {
		return 0, modelError(paplatform.Conflict, nil)
	}
	return s.writeLocked(key, func(r pafleet.Revision) pafleet.Change {
		return pafleet.LimiterUpdated{Name: name, Revision: r}
	}), nil
}
