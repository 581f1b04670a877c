package paevent

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// Guards against a time line in wall-clock order: a request crosses two entry VMs, and the second one's clock
// is two seconds slow, so that its answer seems to precede the request. The message's stamp must order them.
func TestMergeIsCausalWithSkewedClocks(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	a := NewRecorder(RecorderConfig{Process: "a", Log: zerolog.Nop(), Clock: clockwork.NewFakeClockAt(start)})
	b := NewRecorder(RecorderConfig{Process: "b", Log: zerolog.Nop(), Clock: clockwork.NewFakeClockAt(start.Add(-2 * time.Second))})

	a.Record(Started{Role: "entry"})
	b.Stamps.Receive(a.Stamps.Next())
	b.Record(Stopping{Reason: "asked by a"})
	a.Stamps.Receive(b.Stamps.Next())
	a.Record(Stopped{})

	var names []string
	for _, r := range Merge(Filter{}, b.Records(), a.Records()) {
		names = append(names, r.Name)
	}
	g.Expect(names).To(Equal([]string{"Started", "Stopping", "Stopped"}))
}

// A stamp from a process whose clock is years ahead must not advance the local clock.
func TestReceiveIgnoresStampFarAhead(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := Stamper{Clock: clockwork.NewFakeClockAt(start)}
	s.Receive(Stamp{Wall: start.AddDate(3, 0, 0).UnixMicro()})
	g.Expect(s.Next().Time()).To(Equal(start))
}

func TestRingKeepsTheLatest(t *testing.T) {
	g := NewWithT(t)
	r := NewRecorder(RecorderConfig{Process: "a", Log: zerolog.Nop(), Clock: clockwork.NewFakeClock(), RingSize: 3})
	for i := range 5 {
		r.Record(Stopping{InFlight: i})
	}
	all := r.Records()
	g.Expect(all).To(HaveLen(3))
	g.Expect(string(all[2].Event)).To(ContainSubstring(`"InFlight":4`))
	g.Expect(r.Count(1002)).To(Equal(uint64(5)))
}
