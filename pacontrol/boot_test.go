package pacontrol

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"papayahead/pabundle"
	"papayahead/pamember"
)

// An entry VM restarts after a crash, and a peer that still knows its address offers the head before the
// new process has read the VM list. The process crashed on a nil view, repeatedly under a supervisor, so
// that one crash kept the zone without its entry VM for longer.
func TestAHeadOfferedBeforeTheFirstListIsFetched(t *testing.T) {
	now := time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)
	k, err := New(Config{
		Self: pamember.Identity{
			Name: "entry-1", Zone: "centro-1", Region: "centro", Incarnation: 2,
			CallerAddress: netip.MustParseAddrPort("10.0.0.1:1"), PeerAddress: netip.MustParseAddrPort("10.0.0.1:2"),
		},
		Deployment: "instituto", Random: rand.New(rand.NewPCG(1, 1)), Started: now,
	})
	if err != nil {
		t.Fatal(err)
	}
	h := pabundle.Head{Deployment: "instituto", Sequence: 7, Digest: pabundle.DigestOf([]byte("manifest"))}
	out := k.Step(now, HeadOffered{Peer: "entry-2", Head: h})
	for _, e := range out.Effects {
		if f, ok := e.(FetchPiece); ok && f.Digest == h.Digest {
			return
		}
	}
	t.Errorf("effects %v: want the bundle's first piece fetched", out.Effects)
}
