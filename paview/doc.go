// Package paview agrees on the set of members, the entry VMs among which a region divides limits and
// keys, without a leader or voting.
//
// Each entry VM reads the platform's VM list, which may be out of date, and announces the members that
// it knows. A View uses a set of members only after every one of them has confirmed this entry VM: its
// announcement lists this entry VM's current incarnation and round. Members that are added later are
// used at once, because an entry VM that counts more members claims a smaller share.
//
// If two entry VMs use their views at the same time, at least one of them counts the other. Shares of
// one divided by the number of members therefore never add up to more than the whole, and a key that
// is assigned by the highest rendezvous score has one keeper.
//
// This assumes that the list does not drop a VM that still runs, and that a change of the list reaches
// every reader within View.ListLag. A VM that was paused until the list dropped it detects the pause by
// its own clock.
package paview
