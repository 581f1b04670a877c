package paledger_test

import (
	"fmt"
	"time"

	"papayahead/pabundle"
	"papayahead/paledger"
)

// A keeper that has just started refuses the key as too old. Later, of two copies under one key, the
// first is granted; the second joins it and then gets its outcome.
func Example() {
	started := time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)
	l := paledger.Ledger{Self: "centro-1", Incarnation: 1, Region: "centro", Capacity: 1000}
	l.SetCandidateRegions(started, 1, map[pabundle.ServiceName][]pabundle.RegionName{"deposits": {"centro"}})
	l.SetMembers(started, []pabundle.EntryName{"centro-1"})

	now := started.Add(2 * time.Second)
	copyOf := func(request string) paledger.Claim {
		return paledger.Claim{
			ID:      paledger.ID{Service: "deposits", Key: "school-7"},
			Request: request, FirstSent: now, Deadline: now.Add(10 * time.Second), Memory: time.Hour,
		}
	}
	fmt.Println(l.Claim(now, copyOf("a")).Reason)
	now = started.Add(time.Minute)
	for at := started; at.Before(now); at = at.Add(time.Second) {
		l.Tick(at)
	}
	fmt.Println(l.Claim(now, copyOf("b")).Verdict, l.Claim(now, copyOf("c")).Verdict)
	l.Settle(now, paledger.Settlement{
		ID: paledger.ID{Service: "deposits", Key: "school-7"}, Request: "b", Outcome: paledger.EndedAnswered, Status: 201,
	})
	r := l.Claim(now, copyOf("c"))
	fmt.Println(r.Verdict, r.Status)
	// Output:
	// TooOld
	// Granted Join
	// Repeated 201
}
