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

// neighbours is a fixed set of other owners in the region.
type neighbours []paplacement.Candidate

func (n neighbours) Candidates(_ time.Time, _ pabundle.ServiceName, into []paplacement.Candidate) []paplacement.Candidate {
	return append(into, n...)
}

// offerOneByOne offers requests one after the other, each of which ends before the next, and counts those
// started per target and those forwarded per owner.
func offerOneByOne(
	t *testing.T, others neighbours, origin paowner.Origin, requests int,
) (targets map[pabundle.TargetName]int, owners map[pabundle.EntryName]int) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	o := paowner.New(paowner.Config{Services: services(), Others: others, Rand: rand.New(rand.NewPCG(1, 2))})
	o.SetTargets(now, []paowner.OwnedTarget{
		ownedTarget("deposits", 1, patarget.Warm), ownedTarget("deposits", 2, patarget.Warm),
	}, nil)
	targets, owners = map[pabundle.TargetName]int{}, map[pabundle.EntryName]int{}
	for i := range requests {
		now = now.Add(100 * time.Millisecond)
		id := paowner.RequestID(i + 1)
		for _, d := range o.Offer(now, paowner.Request{
			ID: id, Service: "deposits", Origin: origin, Deadline: now.Add(time.Second),
		}, nil) {
			switch v := d.(type) {
			case paowner.Start:
				targets[v.Target]++
			case paowner.Forward:
				owners[v.Entry]++
				if v.MaxWait <= 0 {
					t.Errorf("Forward to %s without MaxWait: the request may wait there although a slot is free here", v.Entry)
				}
			}
		}
		o.Finish(now, id, paowner.Result{Attempt: 1, Run: 20 * time.Millisecond}, nil)
	}
	return targets, owners
}

// Guards against a target that gets no requests as long as one before it in the list has a free slot.
func TestEqualTargetsTakeTurns(t *testing.T) {
	targets, _ := offerOneByOne(t, nil, paowner.Caller, 100)
	if targets["deposits-1"] != 50 || targets["deposits-2"] != 50 {
		t.Errorf("100 sequential requests were started on %v, want 50 on each of two targets", targets)
	}
}

// Guards against targets that are never used because the entry VM that all callers connect to always has
// free slots of its own. Owners with requests, with an old report or without slots get none.
func TestIdleOwnersGetRequests(t *testing.T) {
	region := neighbours{
		{Distance: paplacement.SameRegion, Entry: "idle-1", Slots: 3, Free: 3},
		{Distance: paplacement.SameRegion, Entry: "busy", Slots: 3, Free: 2},
		{Distance: paplacement.SameRegion, Entry: "idle-2", Slots: 6, Free: 6},
		{Distance: paplacement.SameRegion, Entry: "unheard", Slots: 3, Free: 3, Age: time.Minute},
		{Distance: paplacement.SameRegion, Entry: "empty"},
	}
	_, owners := offerOneByOne(t, region, paowner.Caller, 160)
	if owners["idle-1"] != 5 || owners["idle-2"] != 5 || len(owners) != 2 {
		t.Errorf("of 160 requests that could start here %v were forwarded, want 5 to each idle owner", owners)
	}
	if _, owners := offerOneByOne(t, region, paowner.Peer, 160); len(owners) > 0 {
		t.Errorf("requests from other entry VMs were forwarded again: %v, want none", owners)
	}
}
