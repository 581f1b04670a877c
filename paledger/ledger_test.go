package paledger

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"papayahead/pabundle"
	"papayahead/pawire"
)

// TestMain fixes the seed so that CI runs are reproducible; command-line flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20262", "rapid.checks": "300", "rapid.steps": "120", "rapid.shrinktime": "3s", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against running a key twice, which happens if two keepers grant it or one that lost its
// records. A request is repeated through several entry VMs while these fail, are replaced, restart,
// freeze until the VM list drops them, are partitioned or shut down, and while messages are lost, delayed
// and reordered. The run counter of each key is the oracle. The test also checks that the shares of a
// link that the entry VMs compute from their members never add up to more than 1.
func TestKeyRunsAtMostOnce(t *testing.T) {
	grants, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: epoch, nodes: map[pabundle.EntryName]*node{}}
		w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for _, name := range entryVMs[:rapid.IntRange(1, 4).Draw(t, "entry VMs")] {
			w.boot(name)
		}
		for range 30 {
			w.advanceSecond()
		}
		name := rapid.SampledFrom(entryVMs)
		pick := func(t *rapid.T, label string) *node { return w.nodes[name.Draw(t, label)] }
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"pass": func(t *rapid.T) {
				for range rapid.SampledFrom([]int{1, 1, 2, 5, 25, 60}).Draw(t, "seconds") {
					w.advanceSecond()
					w.check(t)
				}
			},
			"heal": func(*rapid.T) {
				for _, n := range w.nodes {
					n.cut, n.listUnreadable = 0, false
				}
			},
			"copies": func(t *rapid.T) {
				skew := time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "caller")) * time.Millisecond
				key := rapid.IntRange(0, len(w.keys)-1).Draw(t, "key")
				for range rapid.IntRange(1, 4).Draw(t, "copies") {
					by, keeper := pick(t, "by"), w.keeper(t, key)
					if by != nil && keeper != nil && w.awake(by) {
						w.send(t, key, by, keeper, skew, rapid.Bool().Draw(t, "marked"))
					}
				}
			},
			"claim again": func(t *rapid.T) {
				key := rapid.IntRange(0, len(w.keys)-1).Draw(t, "key")
				k := w.keys[key]
				if keeper := w.keeper(t, key); k != nil && keeper != nil {
					w.ask(t, k, rapid.SampledFrom(k.sent).Draw(t, "copy"), keeper)
				}
			},
			"fault": func(t *rapid.T) {
				n, at := name.Draw(t, "node"), w.nodes[name.Draw(t, "node")]
				switch kind := rapid.IntRange(0, 9).Draw(t, "fault"); {
				case kind >= 7 && w.nodes[n] == nil:
					w.boot(n)
				case at == nil:
				case kind == 1 && w.awake(at):
					w.boot(at.view.Self.Name)
				case kind == 2:
					delete(w.nodes, at.view.Self.Name)
				case kind == 3:
					frozen := rapid.SampledFrom([]int{1, 3, 40}).Draw(t, "frozen")
					if until := w.now.Add(time.Duration(frozen) * time.Second); until.After(at.frozenUntil) {
						at.frozenUntil = until
					}
					at.delisted = at.delisted || frozen > 30
				case kind == 4:
					at.cut = rapid.IntRange(0, 1).Draw(t, "side")
				case kind == 5:
					at.listUnreadable = !at.listUnreadable
				case kind == 6 && w.awake(at):
					w.retire(t, at)
				}
			},
		})
		grants += w.grants
		for _, k := range w.keys {
			if k != nil {
				runs += k.ran
			}
		}
	})
	t.Logf("%d grants, %d keys ran", grants, runs)
	if runs < 300 {
		t.Errorf("%d keys ran of %d grants, want at least 300 runs", runs, grants)
	}
}

// Checks the answer of a keeper to each kind of repeat. A wrong answer causes a second run, or tells
// the caller that a request has not run although it has.
func TestKeeperAnswers(t *testing.T) {
	now := epoch.Add(time.Minute)
	copyOf := func(request string) Claim {
		return Claim{
			ID: ID{deposit, "key"}, Request: request, Claimant: Claimant{"b", 1}, BodyDigest: 7,
			FirstSent: now, Deadline: now.Add(timeout), Memory: memory,
		}
	}
	first := copyOf("1")
	settle := func(request string, o Outcome) Settlement {
		return Settlement{ID: first.ID, Request: request, Outcome: o}
	}
	with := func(change func(*Claim)) Claim {
		c := copyOf("2")
		change(&c)
		return c
	}
	cases := map[string]struct {
		before func(l *Ledger)
		claim  Claim
		want   Verdict
		why    Reason
	}{
		"the first copy":          {func(*Ledger) {}, first, Granted, NoReason},
		"the same claim repeated": {func(l *Ledger) { l.Claim(now, first) }, first, Granted, NoReason},
		"the same copy claimed by a later incarnation": {func(l *Ledger) { l.Claim(now, first) },
			with(func(c *Claim) { c.Request, c.Claimant.Incarnation = "1", 2 }), Join, NoReason},
		"a repeat of a live copy": {func(l *Ledger) { l.Claim(now, first) }, copyOf("2"), Join, NoReason},
		"a different body":        {func(l *Ledger) { l.Claim(now, first) }, with(func(c *Claim) { c.BodyDigest = 8 }), Conflict, NoReason},
		"a repeat of an answered copy": {func(l *Ledger) {
			l.Claim(now, first)
			l.Settle(now, settle("1", EndedAnswered))
		}, copyOf("2"), Repeated, NoReason},
		"a settlement of another copy": {func(l *Ledger) {
			l.Claim(now, first)
			l.Settle(now, settle("2", EndedNotRun))
		}, copyOf("3"), Join, NoReason},
		"after a copy that did not run": {func(l *Ledger) {
			l.Claim(now, first)
			l.Settle(now, settle("1", EndedNotRun))
		}, copyOf("2"), Granted, NoReason},
		"a late claim of a copy settled as not run": {func(l *Ledger) {
			l.Claim(now, first)
			l.Settle(now, settle("1", EndedNotRun))
		}, first, NotRun, GivenUp},
		"first sent before the records are complete": {func(*Ledger) {}, with(func(c *Claim) { c.FirstSent = epoch }), Unknown, TooOld},
		"first sent in the future":                   {func(*Ledger) {}, with(func(c *Claim) { c.FirstSent = now.Add(time.Hour) }), Unknown, Unstamped},
		"no FirstSent":                               {func(*Ledger) {}, with(func(c *Claim) { c.FirstSent, c.Memory = time.Time{}, time.Hour }), Unknown, Unstamped},
		"no FirstSent, trusted":                      {func(l *Ledger) { l.TrustUnstamped = true }, with(func(c *Claim) { c.FirstSent = time.Time{} }), Granted, NoReason},
		"a full ledger":                              {func(l *Ledger) { l.Capacity = 0 }, first, NotRun, Full},
		"a full ledger and a repeat":                 {func(l *Ledger) { l.Capacity = 0 }, with(func(c *Claim) { c.Repeat = true }), Unknown, Full},
		"past the deadline":                          {func(*Ledger) {}, with(func(c *Claim) { c.Deadline = now }), NotRun, Late},
		"a keeper that shut down":                    {func(l *Ledger) { l.Retire(now, nil) }, first, NotRun, Unsettled},
		"a keeper that was frozen until now":         {func(l *Ledger) { l.lastTick = now.Add(-FreezeThreshold - 1) }, first, NotRun, Unsettled},
		"a roll-out that moves the key": {func(l *Ledger) {
			l.SetCandidateRegions(now, 2, map[pabundle.ServiceName][]pabundle.RegionName{deposit: {"norte"}})
		}, first, NotRun, NotKeeper},
		"a roll-out that moved the key here": {func(l *Ledger) {
			l.SetCandidateRegions(epoch, 2, map[pabundle.ServiceName][]pabundle.RegionName{deposit: {"norte"}})
			l.SetCandidateRegions(epoch, 3, regions)
			l.Tick(now)
		}, first, NotRun, NotKeeper},
		"a confirmed roll-out that moved the key here": {func(l *Ledger) {
			l.SetCandidateRegions(epoch, 2, map[pabundle.ServiceName][]pabundle.RegionName{deposit: {"norte"}})
			l.SetCandidateRegions(epoch, 3, regions)
			l.ConfirmRollOut(epoch, 3)
		}, first, Granted, NoReason},
		"a handover with a missing part": {func(l *Ledger) {
			l.SetMembers(now, []pabundle.EntryName{"b"})
			l.SetMembers(now, []pabundle.EntryName{"a"})
			l.AcceptHandover(now, Handover{From: "b", Incarnation: 1, Part: 1, Parts: 2, Since: epoch, Successors: entryVMs[:1]})
		}, first, Unknown, TooOld},
		"a handover that assigned the key to another VM": {func(l *Ledger) {
			l.SetMembers(now, []pabundle.EntryName{"b"})
			l.SetMembers(now, []pabundle.EntryName{"a"})
			l.AcceptHandover(now, Handover{From: "b", Incarnation: 1, Parts: 1, Since: epoch, Successors: []pabundle.EntryName{"c"}})
		}, first, Unknown, TooOld},
		"a complete handover": {func(l *Ledger) {
			l.SetMembers(now, []pabundle.EntryName{"b"})
			l.SetMembers(now, []pabundle.EntryName{"a"})
			for part := range 2 {
				l.AcceptHandover(now, Handover{From: "b", Incarnation: 1, Part: part, Parts: 2, Since: epoch, Successors: entryVMs[:1]})
			}
		}, first, Granted, NoReason},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := &Ledger{Self: "a", Region: region, Capacity: 10}
			l.SetCandidateRegions(epoch, 1, regions)
			l.SetMembers(epoch, []pabundle.EntryName{"a"})
			for at := epoch; at.Before(now); at = at.Add(time.Second) {
				l.Tick(at)
			}
			c.before(l)
			if r := l.Claim(now, c.claim); r.Verdict != c.want || r.Reason != c.why {
				t.Errorf("claim answered %v (%v), want %v (%v)", r.Verdict, r.Reason, c.want, c.why)
			}
		})
	}
}

// Decoding arbitrary bytes must return an error or a value that is safe to use.
func FuzzMessages(f *testing.F) {
	c := Claim{ID: ID{deposit, "k"}, Request: "r", Claimant: Claimant{"a", 1}, Deadline: epoch.Add(timeout), Memory: memory}
	record := Record{ID: ID{deposit, "l"}, Request: "r", Claimant: Claimant{"a", 1}, Deadline: epoch, ChangedAt: epoch, Memory: memory}
	for _, m := range []proto.Message{
		c.Wire(), Settlement{ID: c.ID, Request: "r"}.Wire(), Reply{Verdict: Join, Live: "r"}.Wire(),
		Handover{From: "b", Parts: 1, Records: []Record{record}}.Wire(),
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		l := &Ledger{Self: "a", Region: region, Capacity: 3}
		l.SetCandidateRegions(epoch, 1, regions)
		l.SetMembers(epoch, entryVMs[:1])
		now := epoch.Add(time.Second)
		var claim pawire.LedgerClaim
		if proto.Unmarshal(b, &claim) == nil {
			if c, err := ClaimFromWire(&claim); err == nil {
				_ = l.Claim(now, c).Wire()
			}
		}
		var settle pawire.LedgerSettle
		if proto.Unmarshal(b, &settle) == nil {
			if s, err := SettlementFromWire(&settle); err == nil {
				l.Settle(now, s)
			}
		}
		var handover pawire.LedgerHandover
		if proto.Unmarshal(b, &handover) == nil {
			if h, err := HandoverFromWire(&handover); err == nil {
				l.AcceptHandover(now, h)
			}
		}
		var reply pawire.LedgerReply
		if proto.Unmarshal(b, &reply) == nil {
			if r, err := ReplyFromWire(&reply); err == nil {
				_ = fmt.Sprint(r.Verdict, r.Reason, r.Outcome)
			}
		}
		l.Tick(now.Add(time.Hour))
	})
}

func BenchmarkClaimAndSettle(b *testing.B) {
	l := &Ledger{Self: "a", Region: region, Capacity: 1 << 20}
	l.SetCandidateRegions(epoch, 1, regions)
	l.SetMembers(epoch, entryVMs[:1])
	now := epoch.Add(time.Minute)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		id := ID{deposit, fmt.Sprint(i)}
		l.Claim(now, Claim{ID: id, Request: "r", FirstSent: now, Deadline: now.Add(timeout), Memory: memory})
		l.Settle(now, Settlement{ID: id, Request: "r", Outcome: EndedAnswered})
	}
}
