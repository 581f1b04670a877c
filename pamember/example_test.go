package pamember_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"papayahead/pabundle"
	"papayahead/pamember"
)

// Two daemons discover each other through the platform's VM list. A queue stands for the network; a program sends the
// same messages encoded by ToWire and decoded by FromWire.
func Example() {
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	members := map[netip.AddrPort]*pamember.Member{}
	var list []pamember.Seed
	for i, name := range []pabundle.EntryName{"entry-1", "entry-2"} {
		self := pamember.Identity{
			Name: name, Zone: "centro-a", Region: "centro", Incarnation: 1,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7070),
		}
		m, err := pamember.New(pamember.Config{Self: self, Random: rand.New(rand.NewPCG(1, uint64(i)))})
		if err != nil {
			fmt.Println(err)
		}
		members[self.PeerAddress] = m
		list = append(list, pamember.Seed{Name: name, Zone: self.Zone, Region: self.Region, PeerAddress: self.PeerAddress})
	}
	var queue []pamember.Envelope
	step := func(m *pamember.Member, e pamember.Event) { queue = append(queue, m.Step(now, e).Send...) }
	for _, s := range list {
		step(members[s.PeerAddress], pamember.Seeds{List: list})
	}
	for range 20 {
		now = now.Add(pamember.TickInterval)
		for _, s := range list {
			step(members[s.PeerAddress], pamember.Tick{})
		}
		for len(queue) > 0 {
			e := queue[0]
			queue = queue[1:]
			step(members[e.Address], pamember.Received{Message: e.Message})
		}
	}
	for _, m := range members[list[0].PeerAddress].View(now).Members {
		fmt.Println(m.Name, m.State)
	}
	// Output:
	// entry-1 Alive
	// entry-2 Alive
}
