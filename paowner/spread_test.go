package paowner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"papayahead/pabundle"
	"papayahead/paowner"
	"papayahead/paplacement"
	"papayahead/patarget"
)

// neighbours are the other owners of the region.
type neighbours []paplacement.Candidate

func (n neighbours) Candidates(_ time.Time, _ pabundle.ServiceName, into []paplacement.Candidate) []paplacement.Candidate {
	return append(into, n...)
}

// calm offers requests one after the other, each of which ends before the next, and counts where they go.
func calm(t *testing.T, elsewhere neighbours, origin paowner.Origin, requests int) (targets map[pabundle.TargetName]int, owners map[pabundle.EntryName]int) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	o := paowner.New(paowner.Config{Services: services(), Candidates: elsewhere, Rand: rand.New(rand.NewPCG(1, 2))})
	o.SetTargets(now, []paowner.OwnedTarget{owned("deposits", 1, patarget.Warm), owned("deposits", 2, patarget.Warm)}, nil)
	targets, owners = map[pabundle.TargetName]int{}, map[pabundle.EntryName]int{}
	for i := range requests {
		now = now.Add(100 * time.Millisecond)
		id := paowner.RequestID(i + 1)
		for _, d := range o.Offer(now, paowner.Request{ID: id, Service: "deposits", Origin: origin, Deadline: now.Add(time.Second)}, nil) {
			switch v := d.(type) {
			case paowner.Start:
				targets[v.Target]++
			case paowner.Forward:
				owners[v.Entry]++
				if v.MaxWait <= 0 {
					t.Errorf("a request goes to %s without a patience: it may wait there, and could run here", v.Entry)
				}
			}
		}
		o.Finish(now, id, paowner.Result{Attempt: 1, Run: 20 * time.Millisecond}, nil)
	}
	return targets, owners
}

// Guards against a target that gets nothing as long as one before it in the list has room.
func TestEqualTargetsTakeTurns(t *testing.T) {
	targets, _ := calm(t, nil, paowner.Caller, 100)
	if targets["deposits-1"] != 50 || targets["deposits-2"] != 50 {
		t.Errorf("of 100 requests one at a time the targets got %v, want half each", targets)
	}
}

// Guards against targets that are never used because the callers' first entry VM has room at its own.
func TestOwnersWithoutWorkGetSome(t *testing.T) {
	region := neighbours{
		{Distance: paplacement.SameRegion, Entry: "idle-1", Slots: 3, Free: 3},
		{Distance: paplacement.SameRegion, Entry: "busy", Slots: 3, Free: 2},
		{Distance: paplacement.SameRegion, Entry: "idle-2", Slots: 6, Free: 6},
		{Distance: paplacement.SameRegion, Entry: "unheard", Slots: 3, Free: 3, Age: time.Minute},
		{Distance: paplacement.SameRegion, Entry: "empty"},
	}
	_, owners := calm(t, region, paowner.Caller, 160)
	if owners["idle-1"] != 5 || owners["idle-2"] != 5 || len(owners) != 2 {
		t.Errorf("of 160 requests that could run here others got %v, want 5 for each without work", owners)
	}
	if _, owners := calm(t, region, paowner.Peer, 160); len(owners) > 0 {
		t.Errorf("requests of other entry VMs went on to %v, want none", owners)
	}
}
