package paproxy

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"papayahead/paevent"
)

// Guards against events in the wrong order when the clocks of two entry VMs differ by a minute: by
// wall time the slow one would respond before it was asked, and the origin would record the
// response's end before its start. The timestamps carried by the call must order cause before
// effect.
func TestStampsOrderRequestAcrossSkewedClocks(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	origin := &paevent.Stamper{Clock: clockwork.NewFakeClockAt(start)}
	for _, skew := range []time.Duration{time.Minute, -time.Minute} {
		owner := &paevent.Stamper{Clock: clockwork.NewFakeClockAt(start.Add(skew))}
		p.proxy.Peers.Stamps, p.owner.Stamps = origin, owner
		asked := origin.Next()
		g.Expect(p.ask("GET", "/Services/s/", "stamped", "").outcome()).To(Equal("Answered"))
		g.Expect(asked.Before(owner.Next())).To(BeTrue(), "the owner's events come after the request")
		answered := start.Add(max(0, skew))
		g.Expect(origin.Next().Time()).NotTo(BeTemporally("<", answered), "the origin's later events come after the response")
	}
}
