package pashift_test

import (
	"fmt"
	"time"

	"papayahead/pabundle"
	"papayahead/pashift"
)

// A roll-out drains centro under a cap of 0.2 per minute; after two minutes a third has moved.
func Example() {
	rolled := time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)
	shares := func(home float64) []pabundle.Share {
		return []pabundle.Share{{From: "centro", To: "centro", Share: home}, {From: "centro", To: "norte", Share: 1 - home}}
	}
	next := &pabundle.Bundle{
		Regions: []pabundle.Region{{Name: "centro"}, {Name: "norte"}},
		Services: []pabundle.Service{{
			Name:   "deposits",
			Shares: shares(0),
			Shift:  pabundle.ShiftCap{Share: 0.2, Window: pabundle.Duration{Duration: time.Minute}},
		}},
	}
	start := pashift.ChangedShares(pashift.ServiceShares{"deposits": shares(1)}, next)
	roll := pashift.RollOut{Bundle: next, Start: start, RolledAt: rolled}

	now := rolled.Add(2 * time.Minute)
	for _, s := range pashift.SharesAt(roll, now)["deposits"] {
		fmt.Printf("%s to %s: %.3f\n", s.From, s.To, s.Share)
	}
	fmt.Println("ends after", pashift.EndsAt(roll).Sub(rolled).Round(time.Second))

	var l pashift.Limiter
	l.SetRollOut(roll, now)
	table := l.Step(now)
	var c pashift.Selector
	count := map[pabundle.RegionName]int{}
	for range 1000 {
		count[c.Route(table, pashift.LookUp, "deposits", "centro", 0.5).Region]++
	}
	fmt.Println("of 1000 look-ups to norte:", count["norte"])
	// Output:
	// centro to centro: 0.657
	// centro to norte: 0.343
	// ends after 5m50s
	// of 1000 look-ups to norte: 343
}
