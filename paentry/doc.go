// Package paentry is the daemon of an entry VM: the sockets, timers and goroutines around the
// control state of package pacontrol.
//
// One goroutine owns the control state. It receives events on a channel, applies them one at a time
// and starts their effects without blocking on any of them. Requests and look-ups run on their own
// goroutines and read an immutable snapshot. A Daemon gets its clock, network, store and VM list from
// its Config, so that a test or another program can run many daemons in one process.
package paentry
