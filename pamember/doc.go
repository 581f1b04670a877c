// Package pamember implements the gossip membership of a deployment: which entry VMs exist, which of them
// are alive, and the load that each reports to its region.
//
// A Member is a pure state machine. Its caller passes it events (ticks, received messages, the platform's
// VM list, a planned stop) together with the time, and gets back messages to send and changes to act on.
// It does no I/O, starts no goroutine and must be used by one goroutine at a time.
//
// # Model
//
// State is of three kinds, each disseminated in its own way, so that a daemon's traffic does not grow
// with the fleet:
//
//   - Records say who is a member and in which State. The highest Incarnation wins, then the highest State.
//     Changes are piggybacked on all messages, within a region by every daemon and between regions by a few
//     relays. Anti-entropy finds what gossip missed: daemons compare digests (root, region, zone) and exchange
//     the records of the zones that differ.
//   - Heartbeats say that a zone is reachable: one counter for each zone, incremented every second by any of
//     its live daemons. While a zone's counter does not rise, its members are Unreachable in the local View.
//     That state is never gossiped, so a partition costs no messages and its end needs no refutations.
//   - Load reports are a few bytes from each member (headroom, free slots, sequence), for its own region only.
//
// Only daemons of a member's own zone probe it and may declare it Dead: a zone that is cut off keeps its own
// members and sees the others as Unreachable, not as gone. A probe is a direct ping, then indirect pings through
// other daemons. After two failed probes the member is Suspected; if it is alive, it refutes that with a higher
// incarnation. A Suspected member still owns its targets, so a false suspicion moves no traffic.
package pamember
