package pacredit

import (
	"slices"
	"time"

	"papayahead/pabundle"
)

// Granter gives out credits for the slots of one owner. Set the exported fields before use; it is
// used by one goroutine.
type Granter struct {
	// Self is this entry VM and its start.
	Self Identity
	// Started is when this process started.
	Started time.Time

	services map[pabundle.ServiceName]*service
	sources  map[pabundle.EntryName]*source
}

// service is an owner's account of a service.
type service struct {
	Load
	running     int // remote work
	outstanding int // credits that are out
}

// source is what a granter knows of one asker.
type source struct {
	incarnation uint64
	last        Grant
	lots        []*lot
	demand      map[pabundle.ServiceName]int // what the last Ask wanted, with what was held then
	asked       time.Time
	short       map[pabundle.ServiceName]shortage
}

// shortage is a spell in which a source's requests wait and its asks bring nothing.
type shortage struct{ since, last time.Time }

// stands says whether requests still wait, as far as asks tell.
func (s shortage) stands(now time.Time) bool { return !s.last.IsZero() && now.Sub(s.last) <= shortAge }

// lot is one granted item.
type lot struct {
	sequence uint64
	service  pabundle.ServiceName
	count    int
	spent    uint64
	left     int
	until    time.Time
}

// SetLoad tells the granter about its slots and local work; call it before Ask whenever they changed.
// From one term after the start on, Local has to count the work of an earlier start that still runs.
func (g *Granter) SetLoad(name pabundle.ServiceName, l Load) {
	g.service(name).Load = l
}

// Ask grants what there is to give to a source whose requests wait for credits. A repeat of the last
// Ask gets the same answer, an older one nothing, whatever the network did with them.
func (g *Granter) Ask(now time.Time, a Ask) Grant { return g.ask(now, a, g.shareNow) }

// AskAhead is Ask for requests that are expected and not there yet.
func (g *Granter) AskAhead(now time.Time, a Ask) Grant { return g.ask(now, a, g.shareAhead) }

// shareFunc decides how many credits a source gets of a service.
type shareFunc func(now time.Time, s *source, name pabundle.ServiceName, want int) int

func (g *Granter) ask(now time.Time, a Ask, share shareFunc) Grant {
	g.expire(now)
	empty := Grant{Granter: g.Self, Source: a.Source, Sequence: a.Sequence, Term: Term}
	s := g.source(now, a.Source)
	if s == nil || a.Sequence < s.last.Sequence {
		return empty
	}
	if a.Sequence == s.last.Sequence {
		return s.last
	}
	s.asked = now
	clear(s.demand)
	wants := make(map[pabundle.ServiceName]int, len(a.Items))
	for _, i := range a.Items[:min(len(a.Items), maxItems)] {
		wants[i.Service] += max(0, min(i.Count, maxLot))
	}
	for name, want := range wants {
		s.demand[name] = want + s.held(name)
	}
	grant := empty
	for name, want := range wants {
		if n := share(now, s, name, want); n > 0 {
			g.give(now, s, a.Sequence, name, n)
			grant.Items = append(grant.Items, Item{name, n})
		}
	}
	slices.SortFunc(grant.Items, func(x, y Item) int { return compare(x.Service, y.Service) })
	s.last = grant
	return grant
}

// shareNow decides how many credits a source gets whose requests wait for them: its part, at least
// one, without those that are due to sources that have waited longer.
//
// Load: fewer free slots than sources, asks that come in the same order again and again. Harm
// prevented: each slot that becomes free goes to whoever asks first, and the requests of one source
// are refused for as long as the others ask.
func (g *Granter) shareNow(now time.Time, s *source, name pabundle.ServiceName, want int) int {
	if want <= 0 {
		return 0
	}
	free := g.free(now, name)
	n := min(want, max(1, g.part(now, s, name, free)), free-g.waitLonger(now, s, name), maxLot)
	if n > 0 {
		delete(s.short, name)
		return n
	}
	x := s.short[name]
	if !x.stands(now) {
		x.since = now
	}
	x.last = now
	s.short[name] = x
	return 0
}

// shareAhead decides how many credits a source gets for requests that are still to come: its part,
// but not the last free one, nor any while requests of other sources wait.
//
// Load: a source with a request now and then beside one with many. Harm prevented: credits that lie
// unused at the first for a term each are all there is, and the second one's requests are refused.
func (g *Granter) shareAhead(now time.Time, s *source, name pabundle.ServiceName, want int) int {
	free := g.free(now, name)
	return max(0, min(want, g.part(now, s, name, free), free-1-g.waitLonger(now, s, name), maxLot))
}

// free is how many credits may be granted for a service now.
//
// Guards against a restarted granter: work that its predecessor let in still runs, unknown to it,
// and shows as more work than slots. For one term it grants nothing: the old credits are void by
// their incarnation, and the targets' own reports have told by then what runs.
func (g *Granter) free(now time.Time, name pabundle.ServiceName) int {
	if now.Sub(g.Started) < Term {
		return 0
	}
	return max(0, g.service(name).free())
}

// part is what a source may get beyond what it holds, by its part of the recent demand.
//
// The load is many sources that turn to one owner at once. Each gets its part of what can be out, so
// the first to ask does not take all; the sum is held by what is free now, whoever asks.
func (g *Granter) part(now time.Time, s *source, name pabundle.ServiceName, free int) int {
	total := 0
	for _, o := range g.sources {
		if now.Sub(o.asked) <= demandAge {
			total += o.demand[name]
		}
	}
	return (free+g.service(name).outstanding)*s.demand[name]/max(1, total) - s.held(name)
}

// waitLonger counts the other sources whose requests have waited for longer, and still ask.
func (g *Granter) waitLonger(now time.Time, s *source, name pabundle.ServiceName) int {
	own := s.short[name]
	n := 0
	for _, o := range g.sources {
		x := o.short[name]
		if o != s && x.stands(now) && (!own.stands(now) || x.since.Before(own.since)) {
			n++
		}
	}
	return n
}

func (g *Granter) give(now time.Time, s *source, sequence uint64, name pabundle.ServiceName, n int) {
	g.service(name).outstanding += n
	l := &lot{sequence: sequence, service: name, count: n, left: n, until: now.Add(Term + transit)}
	s.lots = append(s.lots, l)
}

// Redeem spends a credit for a request that arrived. Only after Start may the request be sent to a
// target; a repeated request finds its credit spent.
func (g *Granter) Redeem(now time.Time, r CreditRef) Redemption {
	g.expire(now)
	s := g.sources[r.Source.Name]
	if r.Granter != g.Self.Incarnation || s == nil || s.incarnation != r.Source.Incarnation {
		return Void
	}
	l := s.lot(r)
	if l == nil || l.spent&(1<<r.Index) != 0 {
		return Void
	}
	l.spent |= 1 << r.Index
	l.left--
	v := g.service(r.Service)
	v.outstanding--
	if v.Local+v.running >= v.Slots {
		return Full
	}
	v.running++
	return Start
}

// Done frees the slot of remote work that ended.
func (g *Granter) Done(name pabundle.ServiceName) {
	if v := g.service(name); v.running > 0 {
		v.running--
	}
}

// Tick drops what has expired.
func (g *Granter) Tick(now time.Time) { g.expire(now) }

func (g *Granter) expire(now time.Time) {
	for n, s := range g.sources {
		s.lots = slices.DeleteFunc(s.lots, func(l *lot) bool {
			if now.Before(l.until) {
				return false
			}
			g.service(l.service).outstanding -= l.left
			return true
		})
		if len(s.lots) == 0 && now.Sub(s.asked) > maxSourceAge {
			delete(g.sources, n)
		}
	}
}

// maxSourceAge is how long a source that stopped asking is remembered. Harm: forgotten too soon, a
// delayed Ask of it would be granted anew. Value: longer than any message is on its way.
const maxSourceAge = 10 * time.Minute

func (g *Granter) service(name pabundle.ServiceName) *service {
	if g.services == nil {
		g.services = make(map[pabundle.ServiceName]*service)
	}
	v := g.services[name]
	if v == nil {
		v = &service{}
		g.services[name] = v
	}
	return v
}

// source returns the record of an asker, nil for one that has been replaced by a later start.
func (g *Granter) source(now time.Time, id Identity) *source {
	if g.sources == nil {
		g.sources = make(map[pabundle.EntryName]*source)
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
		// The old start is gone and what it held is void.
		for _, l := range s.lots {
			g.service(l.service).outstanding -= l.left
		}
		*s = *newSource(now, id)
	}
	return s
}

func newSource(now time.Time, id Identity) *source {
	return &source{
		incarnation: id.Incarnation, asked: now,
		demand: make(map[pabundle.ServiceName]int), short: make(map[pabundle.ServiceName]shortage),
	}
}

func (s *source) held(name pabundle.ServiceName) int {
	n := 0
	for _, l := range s.lots {
		if l.service == name {
			n += l.left
		}
	}
	return n
}

func (s *source) lot(r CreditRef) *lot {
	for _, l := range s.lots {
		if l.sequence == r.Sequence && l.service == r.Service && r.Index >= 0 && r.Index < l.count {
			return l
		}
	}
	return nil
}
