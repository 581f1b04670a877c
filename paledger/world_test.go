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

// node is one start of an entry VM.
type node struct {
	view   *paview.View
	ledger *Ledger
	offset time.Duration
	thaw   time.Time
	cut    int  // nodes of unequal cut hear nothing of each other
	blind  bool // it can't read the VM list
	lost   bool // the list has dropped it while it was frozen
	mail   []func()
}

// attempt is one copy of a keyed request at its claimant.
type attempt struct {
	claim Claim
	by    *node
	over  bool // it ran or was given up; it starts once at most
}

// deposits are the copies of one key.
type copies struct {
	first time.Time
	sent  []*attempt
	ran   int
}

type world struct {
	now      time.Time
	random   *rand.Rand
	nodes    map[pabundle.EntryName]*node
	lists    [][]pabundle.EntryName // the true list, second by second
	starts   uint64
	requests int
	keys     [4]*copies
	grants   int
}

func (w *world) clock(n *node) time.Time { return w.now.Add(n.offset) }

func (w *world) boot(name pabundle.EntryName) {
	w.starts++
	n := &node{offset: time.Duration(w.random.IntN(5000)-2500) * time.Millisecond}
	n.view = &paview.View{Self: paview.Member{Name: name, Incarnation: w.starts}, ListLag: lag, Started: w.clock(n)}
	n.ledger = &Ledger{Self: name, Incarnation: w.starts, Region: region, Capacity: 100}
	n.ledger.SetHomes(w.clock(n), 1, regions)
	w.nodes[name] = n
}

func (w *world) awake(n *node) bool { return !w.now.Before(n.thaw) }

// second lets a second pass: the list is read at some age below lag, announcements are sent and
// arrive in any order within seconds, and mail to frozen nodes waits.
func (w *world) second() {
	w.now = w.now.Add(time.Second)
	var live []pabundle.EntryName
	for _, name := range entryVMs {
		if n := w.nodes[name]; n != nil && !n.lost {
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
			// After a freeze, mail may come before the tick.
			w.deliver(n)
		}
		n.view.Tick(w.clock(n))
		n.ledger.Tick(w.clock(n))
		if !n.blind && w.random.IntN(2) == 0 {
			n.view.UpdateList(w.clock(n), w.lists[max(0, len(w.lists)-1-w.random.IntN(int(lag.Seconds())))])
		}
		w.announce(n)
		w.deliver(n)
		n.ledger.SetMembers(w.clock(n), n.view.Members())
	}
}

func (w *world) announce(n *node) {
	a := n.view.NewAnnouncement()
	for _, name := range entryVMs {
		if o := w.nodes[name]; o != nil && o != n && o.cut == n.cut && w.random.IntN(5) > 0 {
			o.mail = append(o.mail, func() { o.view.Receive(w.clock(o), a) })
		}
	}
}

// deliver handles some of the mail, in any order.
func (w *world) deliver(n *node) {
	w.random.Shuffle(len(n.mail), func(i, j int) { n.mail[i], n.mail[j] = n.mail[j], n.mail[i] })
	keep := w.random.IntN(3)
	for len(n.mail) > keep {
		m := n.mail[0]
		n.mail = n.mail[1:]
		m()
		n.ledger.SetMembers(w.clock(n), n.view.Members())
	}
}

// post puts a message to a node into its mail, or loses it.
func (w *world) post(from, to *node, m func()) {
	if from.cut == to.cut && w.random.IntN(8) > 0 {
		to.mail = append(to.mail, m)
	}
}

// send lets a caller send another copy of a key through one entry VM, which asks another one that
// it takes for the keeper; it may be wrong.
func (w *world) send(t *rapid.T, key int, by, keeper *node, skew time.Duration, marked bool) {
	k := w.keys[key]
	if k == nil {
		k = &copies{first: w.now.Add(skew)}
		w.keys[key] = k
	}
	w.requests++
	a := &attempt{by: by, claim: Claim{
		ID: ID{deposit, fmt.Sprint(key)}, Request: fmt.Sprint(w.requests),
		Claimant: Claimant{by.view.Self.Name, by.view.Self.Incarnation},
		Body:     7, FirstSent: k.first, Repeat: marked && len(k.sent) > 0,
		Deadline: w.now.Add(timeout), Memory: memory,
	}}
	k.sent = append(k.sent, a)
	w.ask(t, k, a, keeper)
}

// keeper is the node that keeps a key, or now and then any other.
func (w *world) keeper(t *rapid.T, key int) *node {
	for _, name := range entryVMs {
		if n := w.nodes[name]; n != nil && n.ledger.Keeps(ID{deposit, fmt.Sprint(key)}) && rapid.IntRange(0, 4).Draw(t, "right") > 0 {
			return n
		}
	}
	return w.nodes[rapid.SampledFrom(entryVMs).Draw(t, "keeper")]
}

// ask sends the claim, over the wire form; the reply comes back as mail.
func (w *world) ask(t *rapid.T, k *copies, a *attempt, keeper *node) {
	w.post(a.by, keeper, func() {
		c, err := ClaimFromWire(a.claim.Wire())
		if err != nil {
			t.Fatal(err)
		}
		if r := keeper.ledger.Claim(w.clock(keeper), c); r.Verdict == Granted {
			w.grants++
			w.post(keeper, a.by, func() { w.run(t, k, a, keeper) })
		}
	})
}

// run is the claimant's end: it starts a granted copy once, or gives it up.
func (w *world) run(t *rapid.T, k *copies, a *attempt, keeper *node) {
	if a.over || w.nodes[a.by.view.Self.Name] != a.by {
		return
	}
	a.over = true
	outcome := EndedNotRun
	if w.clock(a.by).Before(a.claim.Deadline) && w.random.IntN(4) > 0 {
		k.ran++
		outcome = []Outcome{EndedAnswered, EndedUnknown}[w.random.IntN(2)]
		if k.ran > 1 {
			t.Fatalf("key %s ran %d times, at last as request %s by %s with the leave of %s",
				a.claim.ID.Key, k.ran, a.claim.Request, a.by.view.Self.Name, keeper.view.Self.Name)
		}
	}
	s := Settlement{ID: a.claim.ID, Request: a.claim.Request, Outcome: outcome, Status: 200}
	w.post(a.by, keeper, func() { keeper.ledger.Settle(w.clock(keeper), s) })
}

// retire lets a node shut down gracefully; its memory is on the way to those it knows.
func (w *world) retire(t *rapid.T, n *node) {
	members := slices.DeleteFunc(n.view.Members(), func(m pabundle.EntryName) bool { return m == n.view.Self.Name })
	handovers := n.ledger.Retire(w.clock(n), members)
	for _, name := range members {
		for _, h := range handovers[name] {
			read, err := HandoverFromWire(h.Wire())
			if err != nil {
				t.Fatal(err)
			}
			if o := w.nodes[name]; o != nil {
				w.post(n, o, func() { o.ledger.Inherit(w.clock(o), read) })
			}
		}
	}
	n.view.Retire()
}

func (w *world) check(t *rapid.T) {
	sum := 0.0
	for _, n := range w.nodes {
		if m := n.view.Members(); w.awake(n) && m != nil {
			sum += 1 / float64(len(m))
		}
	}
	if sum > 1+1e-9 {
		for name, n := range w.nodes {
			t.Logf("%s counts %v", name, n.view.Members())
		}
		t.Fatalf("the parts of a link add up to %.3f", sum)
	}
	holders := map[string]pabundle.EntryName{}
	for name, n := range w.nodes {
		for key := range w.keys {
			id := ID{deposit, fmt.Sprint(key)}
			if w.awake(n) && n.ledger.Keeps(id) {
				if o, ok := holders[id.Key]; ok {
					t.Fatalf("%s and %s both keep key %s", o, name, id.Key)
				}
				holders[id.Key] = name
			}
		}
	}
}
