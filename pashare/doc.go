// Package pashare decides which part an entry VM may use of what all entry VMs use together, without a call to any of them.
//
// Entry VMs register in the platform's store, and each learns the registrations from a state of the store that is some time old. A
// Census keeps three rules:
//
//   - an entry VM has a part only while its state names it and is no older than MaxAge;
//   - it waits for MaxAge after the first state that has its registration, so that all that have a part count it;
//   - one that left counts for MaxAge longer, as it may not know yet.
//
// So whoever has a part at some moment is counted by all that have one, and the parts add up to at most 1 at any moment: while entry VMs
// start, stop, are killed, cut off from the store or from each other, suspended, added and removed. It holds as long as a state of the
// store contains all that was written before its time. What is bounded over a window has to be earned at the rate of the part, like the
// tokens of paretry.Share.
package pashare
