package pacredit

import (
	"slices"
	"time"

	"papayahead/pabundle"
)

// Granter issues credits for the slots of one owner. Set the exported fields before use. It is not
// safe for concurrent use.
type Granter struct {
	// Self identifies this process.
	Self Identity
	// Started is when this process started.
	Started time.Time

	services map[pabundle.ServiceName]*serviceAccount
	sources  map[pabundle.EntryName]*sourceState
}

// serviceAccount counts the slots of one service and their use.
type serviceAccount struct {
	Load
	running     int // remote requests
	outstanding int // credits issued, neither spent nor expired
}

// sourceState is a granter's state for one source.
type sourceState struct {
	incarnation uint64
	lastGrant   Grant
	batches     []*batch
	demand      map[pabundle.ServiceName]int // credits wanted by the last Ask plus those held at that time
	lastAsk     time.Time
	shortages   map[pabundle.ServiceName]shortage
}

// shortage is a period in which a source has waiting requests and its asks are not granted.
type shortage struct{ since, lastAsk time.Time }

// active reports whether the source asked recently enough to assume that its requests still wait.
func (s shortage) active(now time.Time) bool {
	return !s.lastAsk.IsZero() && now.Sub(s.lastAsk) <= maxShortageAge
}

// batch is the credits for one service in one grant.
type batch struct {
	sequence uint64
	service  pabundle.ServiceName
	count    int
	spent    uint64 // bit mask by credit index
	unspent  int
	expires  time.Time
}

// SetLoad sets the slots and local requests of a service; call it before Ask whenever they changed.
// From one term after the start of the process on, Local must include requests that an earlier
// incarnation admitted and that still run.
func (g *Granter) SetLoad(name pabundle.ServiceName, l Load) {
	g.service(name).Load = l
}

// Ask grants available credits to a source with waiting requests. A duplicate of the source's last Ask
// gets the same grant again and an older Ask gets an empty one, so duplicated and reordered messages
// do not issue credits twice.
func (g *Granter) Ask(now time.Time, a Ask) Grant { return g.ask(now, a, g.shareNow) }

// AskAhead grants credits like Ask, but for expected requests, which yield to waiting ones.
func (g *Granter) AskAhead(now time.Time, a Ask) Grant { return g.ask(now, a, g.shareAhead) }

// shareFunc returns how many credits of a service a source gets.
type shareFunc func(now time.Time, s *sourceState, name pabundle.ServiceName, want int) int

func (g *Granter) ask(now time.Time, a Ask, share shareFunc) Grant {
	g.expire(now)
	empty := Grant{Granter: g.Self, Source: a.Source, Sequence: a.Sequence, Term: Term}
	s := g.source(now, a.Source)
	if s == nil || a.Sequence < s.lastGrant.Sequence {
		return empty
	}
	if a.Sequence == s.lastGrant.Sequence {
		return s.lastGrant
	}
	s.lastAsk = now
	clear(s.demand)
	wants := make(map[pabundle.ServiceName]int, len(a.Items))
	for _, i := range a.Items[:min(len(a.Items), maxItems)] {
		wants[i.Service] += max(0, min(i.Count, maxBatch))
	}
	for name, want := range wants {
		s.demand[name] = want + s.unspent(name)
	}
	grant := empty
	for name, want := range wants {
		if n := share(now, s, name, want); n > 0 {
			g.issue(now, s, a.Sequence, name, n)
			grant.Items = append(grant.Items, Item{name, n})
		}
	}
	slices.SortFunc(grant.Items, func(x, y Item) int { return compare(x.Service, y.Service) })
	s.lastGrant = grant
	return grant
}

// shareNow returns how many credits a source with waiting requests gets: its share by demand or at least
// one, and no more than the free credits less one for each source that has waited longer.
//
// With fewer free slots than sources, and asks that always arrive in the same order, every slot that
// becomes free would go to the first source that asks, and the requests of another would be refused
// for as long as the others ask.
func (g *Granter) shareNow(now time.Time, s *sourceState, name pabundle.ServiceName, want int) int {
	if want <= 0 {
		return 0
	}
	free := g.grantable(now, name)
	n := min(want, max(1, g.demandShare(now, s, name, free)), free-g.longerWaiting(now, s, name), maxBatch)
	if n > 0 {
		delete(s.shortages, name)
		return n
	}
	x := s.shortages[name]
	if !x.active(now) {
		x.since = now
	}
	x.lastAsk = now
	s.shortages[name] = x
	return 0
}

// shareAhead returns how many credits a source gets for expected requests: its share by demand, and no
// more than the free credits less one, and less one more for each other source with waiting requests.
//
// Otherwise a source with few requests could hold all credits unused, each for a whole term, while
// the requests of a busier source are refused.
func (g *Granter) shareAhead(now time.Time, s *sourceState, name pabundle.ServiceName, want int) int {
	free := g.grantable(now, name)
	return max(0, min(want, g.demandShare(now, s, name, free), free-1-g.longerWaiting(now, s, name), maxBatch))
}

// grantable returns how many credits of a service may be granted now.
//
// After a restart it is 0 for one term: requests admitted by the previous incarnation still run and
// are unknown to this one, so granting at once would run more requests than there are slots. By the
// end of the term the targets have reported what runs. Credits of the previous incarnation are void.
func (g *Granter) grantable(now time.Time, name pabundle.ServiceName) int {
	if now.Sub(g.Started) < Term {
		return 0
	}
	return max(0, g.service(name).free())
}

// demandShare returns how many credits a source may get in addition to those it holds, in proportion
// to its share of the recent demand of all sources.
//
// When many sources ask one owner at once, this keeps the first from taking all credits. The callers
// limit the result to the credits that are free.
func (g *Granter) demandShare(now time.Time, s *sourceState, name pabundle.ServiceName, free int) int {
	total := 0
	for _, o := range g.sources {
		if now.Sub(o.lastAsk) <= maxDemandAge {
			total += o.demand[name]
		}
	}
	return (free+g.service(name).outstanding)*s.demand[name]/max(1, total) - s.unspent(name)
}

// longerWaiting returns how many other sources still ask for requests that have waited for longer.
func (g *Granter) longerWaiting(now time.Time, s *sourceState, name pabundle.ServiceName) int {
	own := s.shortages[name]
	n := 0
	for _, o := range g.sources {
		x := o.shortages[name]
		if o != s && x.active(now) && (!own.active(now) || x.since.Before(own.since)) {
			n++
		}
	}
	return n
}

func (g *Granter) issue(now time.Time, s *sourceState, sequence uint64, name pabundle.ServiceName, n int) {
	g.service(name).outstanding += n
	b := &batch{sequence: sequence, service: name, count: n, unspent: n, expires: now.Add(Term + transitMargin)}
	s.batches = append(s.batches, b)
}

// Redeem spends a credit for an arrived request. The request may be sent to a target only if the
// result is Start. Redeeming a credit a second time returns Void.
func (g *Granter) Redeem(now time.Time, r CreditRef) Redemption {
	g.expire(now)
	s := g.sources[r.Source.Name]
	if r.Granter != g.Self.Incarnation || s == nil || s.incarnation != r.Source.Incarnation {
		return Void
	}
	b := s.batch(r)
	if b == nil || b.spent&(1<<r.Index) != 0 {
		return Void
	}
	b.spent |= 1 << r.Index
	b.unspent--
	v := g.service(r.Service)
	v.outstanding--
	if v.Local+v.running >= v.Slots {
		return Full
	}
	v.running++
	return Start
}

// Done frees the slot of a remote request that ended.
func (g *Granter) Done(name pabundle.ServiceName) {
	if v := g.service(name); v.running > 0 {
		v.running--
	}
}

// Tick removes expired credits, and sources that no longer ask.
func (g *Granter) Tick(now time.Time) { g.expire(now) }

func (g *Granter) expire(now time.Time) {
	for n, s := range g.sources {
		s.batches = slices.DeleteFunc(s.batches, func(b *batch) bool {
			if now.Before(b.expires) {
				return false
			}
			g.service(b.service).outstanding -= b.unspent
			return true
		})
		if len(s.batches) == 0 && now.Sub(s.lastAsk) > maxSourceAge {
			delete(g.sources, n)
		}
	}
}

// maxSourceAge is how long the state of a source that stopped asking is kept. Removed too soon, a
// delayed duplicate Ask would be granted again; 10 minutes exceeds any message delay.
const maxSourceAge = 10 * time.Minute

func (g *Granter) service(name pabundle.ServiceName) *serviceAccount {
	if g.services == nil {
		g.services = make(map[pabundle.ServiceName]*serviceAccount)
	}
	v := g.services[name]
	if v == nil {
		v = &serviceAccount{}
		g.services[name] = v
	}
	return v
}

// source returns the state of a source and creates it if needed. It returns nil if a later incarnation
// is known or the limit of sources is reached.
func (g *Granter) source(now time.Time, id Identity) *sourceState {
	if g.sources == nil {
		g.sources = make(map[pabundle.EntryName]*sourceState)
	}
	s := g.sources[id.Name]
	if s == nil {
		if len(g.sources) >= maxSources {
			return nil
		}
		s = newSource(now, id)
		g.sources[id.Name] = s
	}
	if id.Incarnation < s.incarnation {
		return nil
	}
	if id.Incarnation > s.incarnation {
		// The previous incarnation has ended; its unspent credits are void.
		for _, b := range s.batches {
			g.service(b.service).outstanding -= b.unspent
		}
		*s = *newSource(now, id)
	}
	return s
}

func newSource(now time.Time, id Identity) *sourceState {
	return &sourceState{
		incarnation: id.Incarnation, lastAsk: now,
		demand: make(map[pabundle.ServiceName]int), shortages: make(map[pabundle.ServiceName]shortage),
	}
}

func (s *sourceState) unspent(name pabundle.ServiceName) int {
	n := 0
	for _, b := range s.batches {
		if b.service == name {
			n += b.unspent
		}
	}
	return n
}

func (s *sourceState) batch(r CreditRef) *batch {
	for _, b := range s.batches {
		if b.sequence == r.Sequence && b.service == r.Service && r.Index >= 0 && r.Index < b.count {
			return b
		}
	}
	return nil
}
