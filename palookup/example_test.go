package palookup_test

import (
	"fmt"
	"net/netip"
	"time"

	"papayahead/pabundle"
	"papayahead/palookup"
	"papayahead/pamember"
)

// A caller of centro looks up entry VMs: first one of its own region, then one in the region's other zone, then one of
// another region.
func Example() {
	var b palookup.Builder
	err := b.Add([]pabundle.ClientBlock{
		{Prefix: netip.MustParsePrefix("190.0.0.0/8"), Region: "centro"},
		{Prefix: netip.MustParsePrefix("190.56.0.0/16"), Region: "norte"},
	})
	if err != nil {
		fmt.Println(err)
	}
	member := func(name pabundle.EntryName, zone pabundle.ZoneName, region pabundle.RegionName) pamember.MemberView {
		return pamember.MemberView{
			Identity: pamember.Identity{Name: name, Zone: zone, Region: region},
			Load:     pamember.LoadReport{Stamp: 1, Headroom: 200},
		}
	}
	view := &pamember.View{Members: []pamember.MemberView{
		member("entry-1", "centro-a", "centro"), member("entry-2", "centro-b", "centro"), member("entry-3", "norte-a", "norte"),
	}}
	var planner palookup.Planner
	plan := planner.Update(time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC), view)

	caller := netip.MustParseAddr("190.149.1.7")
	region, _ := b.Table().Region(caller)
	answer := plan.Answer(palookup.Query{Service: "deposits", Caller: caller, Region: region, Sequence: 12})
	fmt.Println(region, answer.TimeToLive)
	for _, e := range answer.Entries {
		fmt.Println(e.Zone)
	}
	// Output:
	// centro 10s
	// centro-a
	// centro-b
	// norte-a
}
