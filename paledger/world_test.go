package paledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"papayahead/pabundle"
	"papayahead/paview"
)

const (
	region  = pabundle.RegionName("centro")
	deposit = pabundle.ServiceName("deposits")
	lag     = 6 * time.Second
	memory  = 40 * time.Second
	timeout = 10 * time.Second
)

var (
	epoch    = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)
	regions  = map[pabundle.ServiceName][]pabundle.RegionName{deposit: {region}}
	entryVMs = []pabundle.EntryName{"a", "b", "c", "d", "e"}
)

// node is one process of an entry VM.
type node struct {
	view           *paview.View
	ledger         *Ledger
	offset         time.Duration
	frozenUntil    time.Time
	cut            int  // side of a partition; nodes of different sides do not reach each other
	listUnreadable bool // it cannot read the VM list
	delisted       bool // the VM list dropped it while it was frozen
	inbox          []func()
}

// attempt is one copy of a keyed request at its claimant.
type attempt struct {
	claim Claim
	by    *node
	done  bool // it ran or was abandoned; it starts at most once
}

// copies are the copies of one keyed request.
type copies struct {
	first time.Time
	sent  []*attempt
	ran   int
}

// simulation is the entry VMs of a region, the VM list and the copies of each key.
type simulation struct {
	now      time.Time
	random   *rand.Rand
	nodes    map[pabundle.EntryName]*node
	lists    [][]pabundle.EntryName // the true VM list at each second
	starts   uint64
	requests int
	keys     [4]*copies
	grants   int
}

func (w *simulation) clock(n *node) time.Time { return w.now.Add(n.offset) }

func (w *simulation) boot(name pabundle.EntryName) {
	w.starts++
	n := &node{offset: time.Duration(w.random.IntN(5000)-2500) * time.Millisecond}
	n.view = &paview.View{Self: paview.Member{Name: name, Incarnation: w.starts}, ListLag: lag, Started: w.clock(n)}
	n.ledger = &Ledger{Self: name, Incarnation: w.starts, Region: region, Capacity: 100}
	n.ledger.SetCandidateRegions(w.clock(n), 1, regions)
	w.nodes[name] = n
}

func (w *simulation) awake(n *node) bool { return !w.now.Before(n.frozenUntil) }

// advanceSecond moves the time on by a second. Nodes may read the VM list, in a version younger than lag, and
// send announcements, which arrive in any order within seconds; messages to frozen nodes wait.
func (w *simulation) advanceSecond() {
	w.now = w.now.Add(time.Second)
	var live []pabundle.EntryName
	for _, name := range entryVMs {
		if n := w.nodes[name]; n != nil && !n.delisted {
			live = append(live, name)
		}
	}
	w.lists = append(w.lists, live)
	for _, name := range entryVMs {
		n := w.nodes[name]
		if n == nil || !w.awake(n) {
			continue
		}
		if w.random.IntN(2) == 0 {
			// After a freeze, messages may be handled before the tick.
			w.deliver(n)
		}
		n.view.Tick(w.clock(n))
		n.ledger.Tick(w.clock(n))
		if !n.listUnreadable && w.random.IntN(2) == 0 {
			n.view.UpdateList(w.clock(n), w.lists[max(0, len(w.lists)-1-w.random.IntN(int(lag.Seconds())))])
		}
		w.announce(n)
		w.deliver(n)
		n.ledger.SetMembers(w.clock(n), n.view.Members())
	}
}

func (w *simulation) announce(n *node) {
	a := n.view.NewAnnouncement()
	for _, name := range entryVMs {
		if o := w.nodes[name]; o != nil && o != n && o.cut == n.cut && w.random.IntN(5) > 0 {
			o.inbox = append(o.inbox, func() { o.view.Receive(w.clock(o), a) })
		}
	}
}

// deliver handles some of the messages to a node, in any order.
func (w *simulation) deliver(n *node) {
	w.random.Shuffle(len(n.inbox), func(i, j int) { n.inbox[i], n.inbox[j] = n.inbox[j], n.inbox[i] })
	keep := w.random.IntN(3)
	for len(n.inbox) > keep {
		m := n.inbox[0]
		n.inbox = n.inbox[1:]
		m()
		n.ledger.SetMembers(w.clock(n), n.view.Members())
	}
}

// enqueue puts a message into the inbox of a node, or loses it.
func (w *simulation) enqueue(from, to *node, m func()) {
	if from.cut == to.cut && w.random.IntN(8) > 0 {
		to.inbox = append(to.inbox, m)
	}
}

// send adds a copy of a keyed request through the entry VM by, which claims the key from keeper; that
// may be the wrong VM.
func (w *simulation) send(t *rapid.T, key int, by, keeper *node, skew time.Duration, marked bool) {
	k := w.keys[key]
	if k == nil {
		k = &copies{first: w.now.Add(skew)}
		w.keys[key] = k
	}
	w.requests++
	a := &attempt{by: by, claim: Claim{
		ID: ID{deposit, fmt.Sprint(key)}, Request: fmt.Sprint(w.requests),
		Claimant:   Claimant{by.view.Self.Name, by.view.Self.Incarnation},
		BodyDigest: 7, FirstSent: k.first, Repeat: marked && len(k.sent) > 0,
		Deadline: w.now.Add(timeout), Memory: memory,
	}}
	k.sent = append(k.sent, a)
	w.ask(t, k, a, keeper)
}

// keeper returns the keeper of a key, or sometimes any other node.
func (w *simulation) keeper(t *rapid.T, key int) *node {
	for _, name := range entryVMs {
		if n := w.nodes[name]; n != nil && n.ledger.IsKeeper(ID{deposit, fmt.Sprint(key)}) &&
			rapid.IntRange(0, 4).Draw(t, "right") > 0 {
			return n
		}
	}
	return w.nodes[rapid.SampledFrom(entryVMs).Draw(t, "keeper")]
}

// ask sends a claim in its wire form; the reply goes to the inbox of the claimant.
func (w *simulation) ask(t *rapid.T, k *copies, a *attempt, keeper *node) {
	w.enqueue(a.by, keeper, func() {
		c, err := ClaimFromWire(a.claim.Wire())
		if err != nil {
			t.Fatal(err)
		}
		if r := keeper.ledger.Claim(w.clock(keeper), c); r.Verdict == Granted {
			w.grants++
			w.enqueue(keeper, a.by, func() { w.run(t, k, a, keeper) })
		}
	})
}

// run handles a grant at the claimant: it runs the copy, at most once, or abandons it.
func (w *simulation) run(t *rapid.T, k *copies, a *attempt, keeper *node) {
	if a.done || w.nodes[a.by.view.Self.Name] != a.by {
		return
	}
	a.done = true
	outcome := EndedNotRun
	if w.clock(a.by).Before(a.claim.Deadline) && w.random.IntN(4) > 0 {
		k.ran++
		outcome = []Outcome{EndedAnswered, EndedUnknown}[w.random.IntN(2)]
		if k.ran > 1 {
			t.Fatalf("key %s ran %d times, last as request %s by %s, granted by %s",
				a.claim.ID.Key, k.ran, a.claim.Request, a.by.view.Self.Name, keeper.view.Self.Name)
		}
	}
	s := Settlement{ID: a.claim.ID, Request: a.claim.Request, Outcome: outcome, Status: 200}
	w.enqueue(a.by, keeper, func() { keeper.ledger.Settle(w.clock(keeper), s) })
}

// retire shuts a node down gracefully and sends its handovers to the members it knows.
func (w *simulation) retire(t *rapid.T, n *node) {
	members := slices.DeleteFunc(n.view.Members(), func(m pabundle.EntryName) bool { return m == n.view.Self.Name })
	handovers := n.ledger.Retire(w.clock(n), members)
	for _, name := range members {
		for _, h := range handovers[name] {
			read, err := HandoverFromWire(h.Wire())
			if err != nil {
				t.Fatal(err)
			}
			if o := w.nodes[name]; o != nil {
				w.enqueue(n, o, func() { o.ledger.AcceptHandover(w.clock(o), read) })
			}
		}
	}
	n.view.Retire()
}

func (w *simulation) check(t *rapid.T) {
	sum := 0.0
	for _, n := range w.nodes {
		if m := n.view.Members(); w.awake(n) && m != nil {
			sum += 1 / float64(len(m))
		}
	}
	if sum > 1+1e-9 {
		for name, n := range w.nodes {
			t.Logf("%s sees the members %v", name, n.view.Members())
		}
		t.Fatalf("the shares of a link add up to %.3f, want at most 1", sum)
	}
	holders := map[string]pabundle.EntryName{}
	for name, n := range w.nodes {
		for key := range w.keys {
			id := ID{deposit, fmt.Sprint(key)}
			if w.awake(n) && n.ledger.IsKeeper(id) {
				if o, ok := holders[id.Key]; ok {
					t.Fatalf("%s and %s are both keeper of key %s", o, name, id.Key)
				}
				holders[id.Key] = name
			}
		}
	}
}
