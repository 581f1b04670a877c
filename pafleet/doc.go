// Package pafleet holds an entry VM's view of its deployment: the configuration in force, the targets, the evacuated
// availability zones and the other entry VMs.
//
// A View accepts changes from the platform's store and from neighbours (other entry VMs) in any order, late and more than
// once. Newer state is never replaced by older state. The package does no I/O and reads no clock; the current time is a
// parameter.
//
// View.Revision is the store revision up to which the view is complete: for each key the view holds the value that the
// store had at that revision, or a later one. A complete listing raises Revision, and so do all changes since a revision
// up to which the view is already complete. A view that was initialised from a listing does not know which keys were
// removed before it, so it can't tell a neighbour at an earlier revision what changed; CoversSince reports whether it can.
package pafleet
