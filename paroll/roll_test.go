package paroll

import (
	"context"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"papayahead/pabundle"
	"papayahead/paplatform"
)

// instantClock is a clock whose After fires at once.
type instantClock struct{ clockwork.Clock }

func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

func example(t testing.TB) pabundle.Bundle {
	t.Helper()
	data, err := os.ReadFile("../examples/kartuli.json")
	if err != nil {
		t.Fatal(err)
	}
	b, errs := pabundle.Check(data)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	return b
}

// variant returns a bundle that differs from the example in its comment.
func variant(t testing.TB, comment string) pabundle.Bundle {
	b := example(t)
	b.Comment = comment
	return b
}

// testStore is a store in memory for the commands of several operators.
type testStore struct {
	clock *clockwork.FakeClock
	store *paplatform.MemoryStore
}

func newTestStore() testStore {
	c := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	return testStore{c, &paplatform.MemoryStore{Clock: c}}
}

func (d testStore) operator(name string) *Operator {
	return &Operator{Name: name, Deployment: "kartuli", Store: d.store.As(paplatform.Caller(name)), Clock: instantClock{d.clock}}
}

// signedOff proposes, reviews and signs off a bundle.
func (d testStore) signedOff(g *WithT, b pabundle.Bundle) pabundle.Digest {
	ctx := context.Background()
	v, err := d.operator("ana").Propose(ctx, b)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = d.operator("beso").Review(ctx, v.Digest, "")
	g.Expect(err).NotTo(HaveOccurred())
	v, err = d.operator("beso").SignOff(ctx, v.Digest)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.State).To(Equal(SignedOff))
	return v.Digest
}

func TestLifeCycle(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	d := newTestStore()
	ana, beso := d.operator("ana"), d.operator("beso")
	v, err := ana.Propose(ctx, variant(t, "one"))
	g.Expect(err).NotTo(HaveOccurred())
	one := v.Digest
	_, err = ana.Review(ctx, one, "")
	g.Expect(err).To(MatchError(ContainSubstring("another operator")))
	_, err = beso.SignOff(ctx, one)
	g.Expect(err).To(MatchError(ContainSubstring("is Proposed, which allows [Review]")))
	_, err = beso.RollOut(ctx, Request{Digest: one})
	g.Expect(err).To(MatchError(ContainSubstring("must be signed off")))
	g.Expect(d.signedOff(g, variant(t, "one"))).To(Equal(one), "proposing again changes nothing")
	_, err = ana.SignOff(ctx, one)
	g.Expect(err).To(MatchError(ContainSubstring("another operator")))
	two := d.signedOff(g, variant(t, "two"))

	r, err := ana.RollOut(ctx, Request{Digest: one})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(Won))
	r, err = beso.RollOut(ctx, Request{Digest: two})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(Lost), "the head changed after the sign-off")
	g.Expect(r.InForce.Operator).To(Equal("ana"))
	_, err = beso.SignOff(ctx, two)
	g.Expect(err).NotTo(HaveOccurred())
	r, err = beso.RollOut(ctx, Request{Digest: two})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(Won))
	r, err = ana.RollOut(ctx, Request{Digest: one})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(Won), "repeating a command returns its result")
	g.Expect(r.Head.Sequence).To(BeEquivalentTo(1))
	g.Expect(r.InForce.Sequence).To(BeEquivalentTo(2))

	r, err = ana.RollBack(ctx, Request{Digest: one})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(Won))
	r, err = ana.RollBack(ctx, Request{Digest: one})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(AlreadyInForce))
	s, err := ana.Status(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Head.Sequence).To(BeEquivalentTo(3))
	g.Expect(s.Head.Digest).To(Equal(one))
	states := map[pabundle.Digest]State{}
	for _, v := range s.Versions {
		states[v.Digest] = v.State
	}
	g.Expect(states).To(Equal(map[pabundle.Digest]State{one: RolledOut, two: RolledBack}))
}

// The store takes the new head, but its reply is lost or the write takes effect a second later. The command
// must not report a failure, because the operator would roll out again on top of a bundle that is in force.
func TestLostReplyOfARollOutIsReadBack(t *testing.T) {
	for _, effect := range []paplatform.Effect{paplatform.LostBefore, paplatform.LostAfter, paplatform.LostLate} {
		g := NewWithT(t)
		ctx := context.Background()
		d := newTestStore()
		one := d.signedOff(g, variant(t, "one"))
		lose := paplatform.Injection{
			Caller: "ana", Operation: paplatform.OperationCompareAndSwap, Prefix: HeadKey("kartuli"), Effect: effect,
			Delay: pabundle.Duration{Duration: time.Second}, Times: 1,
		}
		d.store.Inject(lose)
		r, err := d.operator("ana").RollOut(ctx, Request{Digest: one})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Outcome).To(Equal(Won))

		two := d.signedOff(g, variant(t, "two"))
		lose.Times = writeAttempts
		d.store.Inject(lose)
		r, err = d.operator("ana").RollOut(ctx, Request{Digest: two})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Outcome).To(Equal(Unresolved), "no reply was received")
		d.clock.Advance(time.Second)
		d.store.ClearInjections()
		r, err = d.operator("ana").RollOut(ctx, Request{Digest: two})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Outcome).To(Equal(Won), string(effect))
		g.Expect(r.InForce.Sequence).To(BeEquivalentTo(2))
	}
}

// The store lost a piece of the bundle in force: daemons that start cannot load it, and roll-outs fail,
// because the shares in effect are unknown. Proposing the bundle again must repair the store.
func TestProposingAgainRepairsTheStore(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	d := newTestStore()
	ana := d.operator("ana")
	one := d.signedOff(g, variant(t, "one"))
	_, err := ana.RollOut(ctx, Request{Digest: one})
	g.Expect(err).NotTo(HaveOccurred())
	two := d.signedOff(g, variant(t, "two"))
	s, err := variant(t, "one").Split()
	g.Expect(err).NotTo(HaveOccurred())
	v, _, _ := d.store.Get(ctx, PieceKey("kartuli", s.Manifest.Services[0]))
	_, err = d.store.CompareAndSwap(ctx, v.Key, v.Revision, v.Data[1:], "")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = ana.RollOut(ctx, Request{Digest: two})
	g.Expect(err).To(MatchError(ContainSubstring("nothing was rolled out")))
	_, err = ana.Propose(ctx, variant(t, "one"))
	g.Expect(err).NotTo(HaveOccurred())
	r, err := ana.RollOut(ctx, Request{Digest: two})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(Won))
}

// Someone changed the records in the store by hand, so that a sign-off names another digest. A sign-off must
// permit only the digest that was signed off.
func TestSignOffIsBoundToItsDigest(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	d := newTestStore()
	one, two := d.signedOff(g, variant(t, "one")), d.signedOff(g, variant(t, "two"))
	signed, _, _ := d.store.Get(ctx, VersionKey("kartuli", one))
	v, _, _ := d.store.Get(ctx, VersionKey("kartuli", two))
	_, err := d.store.CompareAndSwap(ctx, v.Key, v.Revision, signed.Data, "")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = d.operator("ana").RollOut(ctx, Request{Digest: two})
	g.Expect(err).To(MatchError(ContainSubstring("names " + string(one))))
	forged := strings.Replace(string(v.Data), `"Digest":"`+string(two)+`","After"`, `"Digest":"`+string(one)+`","After"`, 1)
	v, _, _ = d.store.Get(ctx, v.Key)
	_, err = d.store.CompareAndSwap(ctx, v.Key, v.Revision, []byte(forged), "")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = d.operator("ana").RollOut(ctx, Request{Digest: two})
	g.Expect(err).To(MatchError(ContainSubstring("must be signed off")))
}

// Operators' clocks can differ by minutes. A roll-out must not be dated before the previous one, because
// daemons would compute shares for a time before the previous roll-out.
func TestRollTimeNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	d := newTestStore()
	one := d.signedOff(g, variant(t, "one"))
	first, err := d.operator("ana").RollOut(ctx, Request{Digest: one})
	g.Expect(err).NotTo(HaveOccurred())
	two := d.signedOff(g, variant(t, "two"))
	slow := d.operator("ana")
	slow.Clock = instantClock{clockwork.NewFakeClockAt(first.Head.RolledAt.Add(-10 * time.Minute))}
	second, err := slow.RollOut(ctx, Request{Digest: two})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Outcome).To(Equal(Won))
	g.Expect(second.Head.RolledAt).To(BeTemporally("==", first.Head.RolledAt))
}

// Operators sign off what Changes shows. It must return all differences, though it does not read most of
// the pieces.
func TestChangesMatchDiffOfWholeBundles(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	d := newTestStore()
	blocks := func(b pabundle.Bundle, n int) pabundle.Bundle {
		for i := range n {
			a := netip.AddrFrom4([4]byte{20, byte(i >> 8), byte(i), 0})
			b.ClientBlocks = append(b.ClientBlocks, pabundle.ClientBlock{Prefix: netip.PrefixFrom(a, 24), Region: "dubai"})
		}
		return b
	}
	one, two := blocks(variant(t, "one"), 3000), blocks(variant(t, "two"), 3100)
	two.Services = slices.Clone(two.Services)
	two.Services[1].Targets = two.Services[1].Targets[1:]
	two.ClientBlocks[100].Region = "frankfurt"
	first, err := d.operator("ana").Propose(ctx, one)
	g.Expect(err).NotTo(HaveOccurred())
	second, err := d.operator("ana").Propose(ctx, two)
	g.Expect(err).NotTo(HaveOccurred())
	for _, c := range []struct {
		from, to pabundle.Digest
		want     []pabundle.Difference
	}{
		{first.Digest, second.Digest, pabundle.Diff(one, two)},
		{second.Digest, first.Digest, pabundle.Diff(two, one)},
		{"", first.Digest, pabundle.Diff(pabundle.Bundle{}, one)},
	} {
		g.Expect(d.operator("beso").Changes(ctx, c.from, c.to)).To(Equal(c.want))
		g.Expect(len(c.want)).To(BeNumerically(">", 100))
	}
}
