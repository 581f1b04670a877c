// Package paqueue implements the bounded request queue of one service at the owner of its targets.
//
// A Queue holds requests that wait for a slot. Before a request is added, the queue predicts how much
// work is ahead of it and gives the longest wait to which it may be admitted. As in CoDel, a queue
// whose wait stays high for an Interval counts as a standing queue and is shortened until its wait is
// at most StandingWait: a standing queue delays every answer by its length without any gain in
// throughput. A Queue does no I/O and reads no clock.
package paqueue
