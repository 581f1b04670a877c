// Package paledger deduplicates requests that carry an idempotency key, so that each key runs at most
// once. A caller may send several copies of a request under one key; "run" means that a target
// executes a copy.
//
// Every key has one keeper, an entry VM. HomeRegion chooses its region by rendezvous hashing from the
// bundle alone; Keeper chooses the VM from the members that the region's entry VMs agree on (package
// paview). Neither depends on health, so both sides of a network partition name the same keeper; while
// it is unreachable, its keys are refused. An entry VM claims a key from the keeper before it runs a
// request. The keeper grants the key to one copy, records how it ended and answers repeats from the record.
//
// The ledger is held in memory only: a restart loses it, and a key may have had another keeper before.
// So a keeper knows since when its records of a key are complete. A copy whose first sending may be
// earlier is answered Unknown and never run. A keeper that shuts down gracefully hands its records over.
package paledger
