package papolicy

import (
	"container/heap"
	"time"
)

// engine is a queue of events in simulated time.
type engine struct {
	now    time.Time
	events events
	count  uint64
}

type event struct {
	at    time.Time
	count uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].count < e[j].count
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	old := *e
	n := len(old) - 1
	x := old[n]
	old[n] = event{}
	*e = old[:n]
	return x
}

// after plans a call; equal times run in the order in which they were planned.
func (g *engine) after(d time.Duration, do func()) {
	g.count++
	heap.Push(&g.events, event{at: g.now.Add(max(0, d)), count: g.count, do: do})
}

// run lets time pass until the end.
func (g *engine) run(end time.Time) {
	for len(g.events) > 0 && !g.events[0].at.After(end) {
		e := heap.Pop(&g.events).(event)
		g.now = e.at
		e.do()
	}
	g.now = end
}
