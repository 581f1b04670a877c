package paowner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"papayahead/paowner"
	"papayahead/patarget"
)

// BenchmarkOwner measures Offer and Finish of one request at an owner of eight targets, with free slots
// and with a queue of 40 requests.
func BenchmarkOwner(b *testing.B) {
	for _, queued := range []int{0, 40} {
		name := "free"
		if queued > 0 {
			name = "queued"
		}
		b.Run(name, func(b *testing.B) { benchmarkOwner(b, queued) })
	}
}

func benchmarkOwner(b *testing.B, queued int) {
	now := time.Unix(1_000_000, 0)
	o := paowner.New(paowner.Config{Services: services(), Rand: rand.New(rand.NewPCG(1, 2))})
	var all []paowner.OwnedTarget
	for n := range 8 {
		all = append(all, ownedTarget("deposits", 3*n+2, patarget.Warm))
	}
	ds := o.SetTargets(now, all, nil)
	var running []paowner.Start
	id := paowner.RequestID(0)
	offer := func() {
		id++
		ds = o.Offer(now, paowner.Request{ID: id, Service: "deposits", Deadline: now.Add(time.Hour)}, ds[:0])
		for _, d := range ds {
			if s, ok := d.(paowner.Start); ok {
				running = append(running, s)
			}
		}
	}
	before := 12
	if queued > 0 {
		before = 24 + queued
	}
	for range before {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		offer()
		s := running[0]
		running = append(running[:0], running[1:]...)
		ds = o.Finish(now, s.Request, paowner.Result{Attempt: s.Attempt, Run: 20 * time.Millisecond}, ds[:0])
		for _, d := range ds {
			if s, ok := d.(paowner.Start); ok {
				running = append(running, s)
			}
		}
	}
	b.ReportMetric(2*float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}
