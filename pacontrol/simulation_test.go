package pacontrol

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"papayahead/pabundle"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paplatform"
	"papayahead/paroom"
	"papayahead/paspread"
	"papayahead/patarget"
)

// simulation carries out the effects of four control states on a simulated clock: two regions with two
// zones of one entry VM each, and a target of two slots a zone. Messages are delayed, lost and duplicated.
type simulation struct {
	now     time.Time
	rand    *rand.Rand
	events  eventQueue
	order   int
	entries []*entry
	pieces  map[pabundle.Digest][]byte
	head    pabundle.Head
	// lossRate is the fraction of messages that is lost, and also the fraction that is duplicated.
	lossRate float64
	cuts     map[[2]int]bool
	// running, peak and keyRuns are the oracle: requests at each target now and at most, runs of each key.
	running, peak map[pabundle.TargetName]int
	keyRuns       map[string]int
	requests      []*request
}

// request is one copy of a caller's request, or its forwarded part.
type request struct {
	id         paowner.RequestID
	entry      *entry
	generation int
	key        string
	parent     *request
	attempt    int
	began      time.Time
	deadline   time.Time
	sent       bool
	ended      bool
	outcome    patarget.Outcome
	reason     string
}

type entry struct {
	number  int
	self    pamember.Identity
	control *Control
	// generation counts the process's starts; frozen is until when all events are held back.
	generation int
	frozen     time.Time
	requests   map[paowner.RequestID]*request
	highest    pabundle.Sequence
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

const (
	testService = pabundle.ServiceName("deposits")
	testSlots   = 2
	testListLag = 2 * time.Second
)

func testBundle() pabundle.Bundle {
	d := func(t time.Duration) pabundle.Duration { return pabundle.Duration{Duration: t} }
	b := pabundle.Bundle{
		Format: pabundle.FormatVersion, Deployment: "test", Policy: pabundle.Policy{First: pabundle.LatencyFirst},
		Services: []pabundle.Service{{
			Name: testService, Timeout: d(time.Second), MaxTimeout: d(2 * time.Second), TypicalRun: d(20 * time.Millisecond),
			KeyMemory: d(20 * time.Second), Shift: pabundle.ShiftCap{Share: 0.5, Window: d(10 * time.Second)},
		}},
	}
	for i, r := range []pabundle.RegionName{"east", "west"} {
		region := pabundle.Region{Name: r, MaxInFlight: 2 * testSlots}
		for j := range 2 {
			z := pabundle.ZoneName(fmt.Sprintf("%s-%d", r, j+1))
			region.Zones = append(region.Zones, z)
			b.Services[0].Targets = append(b.Services[0].Targets, pabundle.Target{
				Name: pabundle.TargetName("target-" + string(z)), Zone: z, Slots: testSlots, MaxConnections: 20,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i), byte(j)}), 80),
			})
		}
		b.Regions = append(b.Regions, region)
		b.ClientBlocks = append(b.ClientBlocks, pabundle.ClientBlock{
			Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(20 + i), 0, 0}), 16), Region: r,
		})
		b.Services[0].Shares = append(b.Services[0].Shares, pabundle.Share{From: r, To: r, Share: 1})
	}
	for _, x := range [][2]pabundle.RegionName{{"east", "west"}, {"west", "east"}} {
		b.Links = append(b.Links, pabundle.Link{From: x[0], To: x[1], Capacity: 1e9})
	}
	return b
}

func (w *simulation) bundle() *pabundle.Bundle { return w.entries[0].control.bundle }

func newSimulation(seed uint64, lossy float64) *simulation {
	w := &simulation{
		now: time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC), rand: rand.New(rand.NewPCG(seed, 1)), lossRate: lossy,
		cuts: map[[2]int]bool{}, running: map[pabundle.TargetName]int{}, peak: map[pabundle.TargetName]int{}, keyRuns: map[string]int{},
	}
	b := testBundle()
	if f := b.Validate(); len(f) > 0 {
		panic(f[0].String())
	}
	split, err := b.Split()
	if err != nil {
		panic(err)
	}
	w.pieces = split.Pieces
	w.head = pabundle.Head{Deployment: "test", Sequence: 1, Digest: split.Digest, RolledAt: w.now, RollID: "first", Operator: "ana"}
	for _, r := range b.Regions {
		for _, z := range r.Zones {
			n := len(w.entries)
			ip := netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)})
			w.entries = append(w.entries, &entry{number: n, requests: map[paowner.RequestID]*request{}, self: pamember.Identity{
				Name: pabundle.EntryName(fmt.Sprintf("entry-%d", n+1)), Zone: z, Region: r.Name,
				CallerAddress: netip.AddrPortFrom(ip, 1), PeerAddress: netip.AddrPortFrom(ip, 2),
			}})
		}
	}
	for _, e := range w.entries {
		w.boot(e)
	}
	return w
}

// boot starts an entry VM's process, also after a crash.
func (w *simulation) boot(e *entry) {
	e.generation++
	e.highest = 0
	e.self.Incarnation = pamember.Incarnation(w.now.UnixMilli())
	k, err := New(Config{
		Self: e.self, Deployment: "test", Random: rand.New(rand.NewPCG(w.rand.Uint64(), 2)), Started: w.now,
		Room: paroom.Limits{Requests: 50}, TimeToLive: time.Second, ListLag: testListLag,
	})
	if err != nil {
		panic(err)
	}
	e.control = k
	generation := e.generation
	w.every(TickInterval, e, generation, func() { w.step(e, Tick{}) })
	w.every(time.Second, e, generation, func() { w.step(e, VMsListed{VMs: w.list()}) })
	w.every(time.Second, e, generation, func() { w.step(e, HeadFound{Head: w.head}) })
}

func (w *simulation) list() []paplatform.VM {
	var all []paplatform.VM
	for _, e := range w.entries {
		all = append(all, paplatform.VM{
			Name: string(e.self.Name), Kind: paplatform.Entry, Zone: string(e.self.Zone), State: paplatform.Live, PeerAddress: e.self.PeerAddress,
		})
	}
	return all
}

func (w *simulation) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, do})
}

// every repeats do for as long as the entry VM's process lives.
func (w *simulation) every(d time.Duration, e *entry, generation int, do func()) {
	w.after(d, func() {
		if e.generation == generation {
			do()
			w.every(d, e, generation, do)
		}
	})
}

func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		x := heap.Pop(&w.events).(event)
		w.now = x.at
		x.do()
	}
	w.now = end
}

// step passes an event to a control state, after a freeze has ended, and carries out the effects.
func (w *simulation) step(e *entry, v Event) {
	w.stepThen(e, v, func([]Effect) {})
}

func (w *simulation) stepThen(e *entry, v Event, then func([]Effect)) {
	if w.now.Before(e.frozen) {
		generation := e.generation
		if _, tick := v.(Tick); !tick {
			w.after(e.frozen.Sub(w.now), func() {
				if e.generation == generation {
					w.stepThen(e, v, then)
				}
			})
		}
		return
	}
	out := e.control.Step(w.now, v)
	effects := append([]Effect(nil), out.Effects...)
	then(effects)
	for _, x := range effects {
		w.carryOut(e, x)
	}
	s := e.control.Head().Sequence
	if s < e.highest {
		panic("the sequence decreased")
	}
	e.highest = s
}

// send delivers a message to the entry VM at an address, once or twice after a random delay; lost is
// called instead if it is dropped.
func (w *simulation) send(from *entry, a netip.AddrPort, deliver func(to *entry), lost func()) {
	for _, to := range w.entries {
		if to.self.PeerAddress != a {
			continue
		}
		times := 1
		switch x := w.rand.Float64(); {
		case x < w.lossRate:
			times = 0
		case x < 2*w.lossRate:
			times = 2
		}
		if times == 0 || w.cuts[[2]int{from.number, to.number}] {
			w.after(200*time.Millisecond, lost)
			return
		}
		for range times {
			generation := to.generation
			w.after(time.Duration(w.rand.IntN(30))*time.Millisecond, func() {
				if to.generation == generation {
					deliver(to)
				}
			})
		}
		return
	}
}

func ignore() {}

func (w *simulation) carryOut(e *entry, x Effect) {
	generation := e.generation
	// answer delivers a reply, unless it is lost or the asking process has ended.
	answer := func(from *entry, v Event) {
		w.send(from, e.self.PeerAddress, func(to *entry) {
			if to.generation == generation {
				w.step(to, v)
			}
		}, ignore)
	}
	switch v := x.(type) {
	case Send:
		w.send(e, v.Envelope.Address, func(to *entry) { w.step(to, MemberMessage{Message: v.Envelope.Message}) }, ignore)
	case OfferHead:
		w.send(e, v.Address, func(to *entry) { w.step(to, HeadOffered{Peer: e.self.Name, Head: v.Head}) }, ignore)
	case FetchPiece:
		w.after(5*time.Millisecond, func() {
			if e.generation == generation {
				w.step(e, PieceFetched{From: paspread.Source{Store: true}, Digest: v.Digest, Data: w.pieces[v.Digest]})
			}
		})
	case AskCredit:
		w.send(e, v.Address, func(to *entry) {
			w.stepThen(to, CreditAsked{Ask: v.Ask, Ahead: v.Ahead}, func(all []Effect) {
				for _, r := range all {
					if g, ok := r.(ReplyGrant); ok {
						answer(to, CreditGranted(g))
					}
				}
			})
		}, ignore)
	case Announce:
		w.send(e, v.Address, func(to *entry) {
			w.stepThen(to, Announced{Announcement: v.Announcement}, func(all []Effect) {
				for _, r := range all {
					if g, ok := r.(ReplyAnnounce); ok {
						answer(to, Announced(g))
					}
				}
			})
		}, ignore)
	case AskShareStates:
		w.send(e, v.Address, func(to *entry) {
			w.stepThen(to, ShareStatesAsked{Sequence: v.Sequence}, func(all []Effect) {
				for _, r := range all {
					if g, ok := r.(ReplyShareStates); ok {
						answer(to, ShareStatesReceived(g))
					}
				}
			})
		}, ignore)
	case ClaimKey:
		lost := func() {
			if e.generation == generation {
				w.step(e, Claimed{Request: v.Request, Lost: true})
			}
		}
		w.send(e, v.Address, func(to *entry) {
			w.stepThen(to, ClaimAsked{Claim: v.Claim}, func(all []Effect) {
				for _, r := range all {
					if g, ok := r.(ReplyClaim); ok {
						w.send(to, e.self.PeerAddress, func(back *entry) {
							if back.generation == generation {
								w.step(back, Claimed{Request: v.Request, Reply: g.Reply})
							}
						}, lost)
					}
				}
			})
		}, lost)
		w.after(time.Second, lost)
	case SettleKey:
		w.send(e, v.Address, func(to *entry) { w.step(to, KeySettled{Settlement: v.Settlement}) }, ignore)
	case HandOverKeys:
		w.send(e, v.Address, func(to *entry) { w.step(to, KeysHandedOver{Handover: v.Handover}) }, ignore)
	case Probe:
		w.after(5*time.Millisecond, func() {
			if e.generation == generation {
				w.step(e, Probed{Target: v.Target, OK: true})
			}
		})
	case Start:
		w.start(e, v)
	case Forward:
		w.forward(e, v)
	case Refuse:
		if r := e.requests[v.Request]; r != nil {
			r.reason = v.Reason
		}
		w.finish(e.requests[v.Request], patarget.NotRun)
	case Fail:
		w.finish(e.requests[v.Request], patarget.Unknown)
	case Conclude:
		w.finish(e.requests[v.Request], patarget.Unknown)
	}
}

// start runs a request at a target: it may be slow, and its answer may be lost.
func (w *simulation) start(e *entry, v Start) {
	r := e.requests[v.Request]
	r.sent = true
	w.running[v.Target]++
	w.peak[v.Target] = max(w.peak[v.Target], w.running[v.Target])
	if r.key != "" {
		w.keyRuns[r.key]++
	}
	run := time.Duration(5+w.rand.IntN(100)) * time.Millisecond
	w.after(run, func() {
		w.running[v.Target]--
		o := patarget.Answered
		if w.rand.Float64() < w.lossRate {
			o = patarget.Unknown
		}
		w.endAttempt(r, v.Attempt, o, run)
	})
}

// forward offers a request at another entry VM; its end there is the attempt's.
func (w *simulation) forward(e *entry, v Forward) {
	r := e.requests[v.Request]
	offered := false
	w.send(e, v.Address, func(to *entry) {
		if offered {
			return
		}
		offered = true
		child := w.request(to, r.key, r.deadline)
		child.parent, child.attempt = r, v.Attempt
		w.step(to, Offered{
			Request: paowner.Request{ID: child.id, Service: testService, Deadline: r.deadline, Idempotent: r.key == ""},
			Origin:  e.self.Name, Credit: v.Credit,
		})
	}, func() { w.endAttempt(r, v.Attempt, patarget.NotRun, 0) })
}

func (w *simulation) endAttempt(r *request, attempt int, o patarget.Outcome, run time.Duration) {
	if r.entry.generation != r.generation {
		return
	}
	// An attempt's end is reported even when its request is over: its slot is taken until then.
	w.step(r.entry, Ended{Request: r.id, Result: paowner.Result{Attempt: attempt, Outcome: o, Run: run}, Status: 200})
	if o == patarget.Answered || o == patarget.Abandoned {
		w.finish(r, o)
	}
}

// finish ends a request and tells whoever forwarded it.
func (w *simulation) finish(r *request, o patarget.Outcome) {
	if r == nil || r.ended {
		return
	}
	r.ended, r.outcome = true, o
	delete(r.entry.requests, r.id)
	if r.entry.generation == r.generation {
		w.step(r.entry, RequestDone{Request: r.id})
	}
	if p := r.parent; p != nil {
		w.after(5*time.Millisecond, func() { w.endAttempt(p, r.attempt, o, 10*time.Millisecond) })
	}
}

func (w *simulation) request(e *entry, key string, deadline time.Time) *request {
	r := &request{id: paowner.RequestID(len(w.requests) + 1), entry: e, generation: e.generation, key: key, began: w.now, deadline: deadline}
	w.requests = append(w.requests, r)
	e.requests[r.id] = r
	return r
}

// offer sends a caller's request to an entry VM; a key makes it one that must not run twice.
func (w *simulation) offer(n int, key string, sent time.Time) {
	e := w.entries[n]
	r := w.request(e, key, w.now.Add(time.Second))
	w.step(e, Offered{
		Request: paowner.Request{ID: r.id, Service: testService, Deadline: r.deadline, Idempotent: key == ""},
		From:    e.self.Region, Key: key, Identity: fmt.Sprintf("copy-%d", r.id), FirstSent: sent, BodyDigest: 1,
	})
	w.after(time.Second+50*time.Millisecond, func() { w.finish(r, patarget.Abandoned) })
}

// crash ends an entry VM's process and starts a new one; callers lose their requests there.
func (w *simulation) crash(n int) {
	e := w.entries[n]
	lost := e.requests
	e.requests = map[paowner.RequestID]*request{}
	w.boot(e)
	for _, r := range lost {
		r.ended, r.outcome = true, patarget.Unknown
		if p := r.parent; p != nil {
			w.after(20*time.Millisecond, func() { w.endAttempt(p, r.attempt, patarget.Unknown, 0) })
		}
	}
}
