// Package pastand holds the stand-ins that tests and demonstrations put in the place of the world
// around the system: targets and callers.
//
// A Target is an HTTP server with slots, cold starts, load shedding and a drain, which can be made
// to misbehave by Faults and keeps a log of every Execution, the oracle of what really ran. Callers
// offer an open-loop load, fail over along the entries of a look-up, and check every body against
// the one that its request must get. Both are libraries with clock, random source, listener and
// dialer passed in; the program papayastand runs them as processes.
package pastand
