// Package pawaiting is the waiting room of an entry VM: the requests that wait here for a free slot of a target.
//
// What is at a target cannot be overtaken or taken back. A Room keeps requests where they still can: for each target it tells
// which one goes next, by urgency, by whether it can still be answered within its target latency, and by what its workspace got
// lately. It is bounded in requests, in bytes and in time. It does no I/O and reads no clock; callers pass the time and serialize
// all calls.
package pawaiting
