package paroll

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"papayahead/pabundle"
	"papayahead/paplatform"
)

// testDaemon makes the store calls of a daemon: it follows the head and fetches the pieces that it lacks.
type testDaemon struct {
	HeadWatch
	have     map[pabundle.Digest][]byte
	sequence atomic.Uint64
}

func (f *testDaemon) fetchBundle(ctx context.Context, h pabundle.Head) {
	get := func(d pabundle.Digest) ([]byte, bool) { p, ok := f.have[d]; return p, ok }
	for {
		missing, err := pabundle.MissingPieces(h.Digest, get)
		if err != nil || len(missing) == 0 {
			f.SetHeadKnown()
			f.sequence.Store(uint64(h.Sequence))
			return
		}
		for _, d := range missing {
			v, found, err := f.Store.Get(ctx, PieceKey(f.Deployment, d))
			if err != nil || !found {
				return
			}
			f.have[d] = v.Data
		}
	}
}

// The platform counts each call to the store, and its rate limits grow more slowly than the fleet. This
// test fails if a change needs more calls than the figures in docs/MEASURES.md.
func TestStoreCallsOfCommandsAndDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := &paplatform.MemoryStore{Clock: clockwork.NewRealClock()}
		calls := func(what string, want uint64, do func()) {
			before := store.Counts().Total()
			do()
			synctest.Wait()
			got := store.Counts().Total() - before
			t.Logf("%-55s %5d calls", what, got)
			if got != want {
				t.Errorf("%s: %d calls, want %d", what, got, want)
			}
		}
		operator := func(name string) *Operator {
			return &Operator{Name: name, Deployment: "kartuli", Store: store, Clock: clockwork.NewRealClock()}
		}
		one, two := variant(t, "one"), variant(t, "two")
		two.Services[0].Shares[0].Share = 0.9
		two.Services[0].Shares = append(two.Services[0].Shares, pabundle.Share{From: "tbilisi", To: "dubai", Share: 0.1})
		s, err := one.Split()
		g.Expect(err).NotTo(HaveOccurred())
		s2, err := two.Split()
		g.Expect(err).NotTo(HaveOccurred())
		ok := func(_ any, err error) { g.Expect(err).NotTo(HaveOccurred()) }
		calls("propose, first bundle", 11, func() { ok(operator("ana").Propose(ctx, one)) })
		calls("review", 11, func() { ok(operator("beso").Review(ctx, s.Digest, "")) })
		calls("sign off", 3, func() { ok(operator("beso").SignOff(ctx, s.Digest)) })
		calls("roll out, first bundle", 14, func() { ok(operator("ana").RollOut(ctx, Request{Digest: s.Digest})) })
		calls("status", 2, func() { ok(operator("ana").Status(ctx)) })

		run := func(have map[pabundle.Digest][]byte, follow bool) *testDaemon {
			f := &testDaemon{have: maps.Clone(have)}
			f.HeadWatch = HeadWatch{
				Deployment: "kartuli", Store: store, Clock: clockwork.NewRealClock(), Random: rand.New(rand.NewPCG(1, 1)),
				OnHead: func(h pabundle.Head) { f.fetchBundle(ctx, h) },
			}
			f.SetFollowing(follow)
			go f.Run(ctx)
			return f
		}
		none := map[pabundle.Digest][]byte{}
		calls("boot of a daemon that does not watch, neighbours there", 1, func() { run(s.Pieces, false) })
		calls("boot of a daemon that does not watch, alone", 9, func() { run(none, false) })
		var watcher *testDaemon
		calls("boot of a daemon that watches, with its first watch", 10, func() { watcher = run(none, true) })
		calls("an idle hour of one watching and two other daemons", 450, func() { time.Sleep(time.Hour) })
		calls("an hour's outage, the same daemons", 1201, func() {
			store.Inject(paplatform.Injection{Effect: paplatform.Outage})
			for range 3600 {
				watcher.SetFollowing(true)
				time.Sleep(time.Second)
			}
		})
		store.ClearInjections()
		time.Sleep(maxBackoff)
		synctest.Wait()

		calls("propose, one service changed", 7, func() { ok(operator("ana").Propose(ctx, two)) })
		ok(operator("beso").Review(ctx, s2.Digest, ""))
		ok(operator("beso").SignOff(ctx, s2.Digest))
		calls("roll out, one service changed, and the watching daemon", 22, func() {
			ok(operator("ana").RollOut(ctx, Request{Digest: s2.Digest}))
		})
		g.Expect(watcher.sequence.Load()).To(BeEquivalentTo(2))
		cancel()
	})
}
