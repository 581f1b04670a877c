// Package paroll rolls out bundles. Operator implements the commands that take a version through its
// life cycle, and HeadWatch follows the roll-outs of a deployment in the store for a daemon.
//
// A version is proposed, reviewed and signed off, always identified by its digest. A roll-out is one
// compare-and-swap of the head key, from the head at the time of the sign-off to the next sequence. If
// two operators race, one wins and the other learns who won. A roll-back is a new sequence with an
// older digest. The head is authoritative and the records of versions follow it: each command that
// replaces the head first updates the records for the old one.
//
// A daemon accepts a head only if its sequence is higher than that of its current one (Accept). Package
// paspread distributes heads and pieces to the daemons that do not watch the store.
package paroll
