// Package paevent defines the numbered log events of a deployment, records them and merges them into a time line.
//
// Each kind of event is a small struct that implements the sealed interface Event, with a Number that never
// changes its meaning. A Recorder stamps events with a hybrid logical clock, writes them to the log and
// keeps the latest in a ring buffer. Messages between processes carry stamps, so that Merge can order the
// records of all processes causally, even when their wall clocks differ.
package paevent
