package pagate

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"

	"papayahead/pafleet"
)

// Each of 300 entry VMs called all others of its region twice a second, 60,000 calls a second in all, which used up
// the CPU before the first request came.
func TestCallsPerEntryVMAreBounded(t *testing.T) {
	s := &state{}
	for i := range 300 {
		s.entries = append(s.entries, pafleet.Entry{Name: fmt.Sprintf("e%d", i), Region: fmt.Sprintf("r%d", i%3)})
	}
	called, asked := map[string]int{}, map[string]int{}
	for _, e := range s.entries {
		g := New(Config{Settings: Settings{Name: e.Name, Region: e.Region}, Network: noNetwork{}, Clock: clockwork.NewFakeClock()})
		g.state.Store(s)
		for _, n := range g.neighbours(s.entries) {
			if n.Region != e.Region || n.Name == e.Name {
				t.Fatalf("%s calls %s of region %s", e.Name, n.Name, n.Region)
			}
			called[n.Name]++
		}
		asked[g.syncSource(s).Name]++
		if named := len(g.lookUpAddresses(LookUp{Region: e.Region})); named != maxNeighbours+1 {
			t.Fatalf("%s names %d entry VMs of 100 in its region, want itself and those that it calls", e.Name, named)
		}
	}
	for _, e := range s.entries {
		if called[e.Name] != maxNeighbours {
			t.Errorf("%s is called by %d others, want %d", e.Name, called[e.Name], maxNeighbours)
		}
	}
	for name, n := range asked {
		if n > 100 {
			t.Errorf("%d of 300 entry VMs sync from %s, want at most 100", n, name)
		}
	}
}

// Clients of another region must be sent to all entry VMs of a large region, not only to those that are first in the
// list.
func TestLookUpsSpreadOverALargeRegion(t *testing.T) {
	s := &state{}
	for i := range 200 {
		front := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		s.entries = append(s.entries, pafleet.Entry{Name: fmt.Sprintf("e%03d", i), Region: fmt.Sprintf("r%d", i%2), Front: front})
	}
	named := map[netip.AddrPort]int{}
	for _, e := range s.entries[:100] {
		if e.Region != "r0" {
			continue
		}
		g := New(Config{Settings: Settings{Name: e.Name, Region: e.Region}, Network: noNetwork{}, Clock: clockwork.NewFakeClock()})
		g.state.Store(s)
		all := g.lookUpAddresses(LookUp{Region: "r1"})
		if len(all) != maxAddresses {
			t.Fatalf("%s names %d entry VMs, want %d", e.Name, len(all), maxAddresses)
		}
		for _, a := range all {
			named[a]++
		}
	}
	for _, e := range s.entries {
		if n := named[e.Front]; e.Region == "r1" && (n < 10 || n > 49) {
			t.Errorf("%s is named by %d of 50 entry VMs of another region, want about 32", e.Name, n)
		}
	}
}
