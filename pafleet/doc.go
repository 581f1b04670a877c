// Package pafleet is what an entry VM knows of its deployment: the configuration in force, the
// targets, the availability zones that are being evacuated and the other entry VMs.
//
// A View takes changes from the platform's store and from neighbours in any order, more than once
// and late, and only ever moves forward: an older word never replaces a newer one. It is pure; the
// time is an argument.
//
// Revision says up to where in the store's order of changes a View is complete: for each key it holds what the store held
// there, or later. A whole listing raises it, and so do all changes since a revision that it is complete up to. A
// View that began with a listing does not know what was removed before; Covers says whom it can tell what changed.
package pafleet
