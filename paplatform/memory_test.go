package paplatform

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"papayahead/pabundle"
)

// A lease holder is paused past its lease, and another process takes the key. When the first process resumes, its
// writes with the old revision must fail, even after the other process has deleted its value.
func TestWriteAfterLeaseExpiryFails(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	m := &MemoryStore{Clock: clock}
	old, _ := m.GrantLease(ctx, time.Second)
	r, err := m.CompareAndSwap(ctx, "owner", 0, []byte("first"), old)
	g.Expect(err).NotTo(HaveOccurred())
	clock.Advance(2 * time.Second)
	_, err = m.CompareAndSwap(ctx, "owner", r, []byte("late"), old)
	g.Expect(FaultOf(err)).To(Equal(LeaseLapsed))
	_, err = m.CompareAndSwap(ctx, "owner", r, []byte("late"), "")
	g.Expect(FaultOf(err)).To(Equal(Conflict))
	r2, err := m.CompareAndSwap(ctx, "owner", 0, []byte("second"), "")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = m.CompareAndSwap(ctx, "owner", r, []byte("late"), "")
	g.Expect(FaultOf(err)).To(Equal(Conflict))
	g.Expect(m.Delete(ctx, "owner", r2)).To(Succeed())
	_, err = m.CompareAndSwap(ctx, "owner", r, []byte("late"), "")
	g.Expect(FaultOf(err)).To(Equal(Conflict))
	_, found, _ := m.Get(ctx, "owner")
	g.Expect(found).To(BeFalse())
}

func TestLostLateWriteTakesEffectAfterDelay(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	m := &MemoryStore{Clock: clock}
	m.Inject(Injection{Caller: "bo", Effect: LostLate, Delay: pabundle.Duration{Duration: time.Second}, Times: 1})
	_, err := m.As("bo").CompareAndSwap(ctx, "k", 0, []byte("v"), "")
	g.Expect(FaultOf(err)).To(Equal(Unknown))
	_, found, _ := m.Get(ctx, "k")
	g.Expect(found).To(BeFalse())
	clock.Advance(time.Second)
	g.Eventually(func() bool { _, found, _ := m.Get(ctx, "k"); return found }).Should(BeTrue())
}
