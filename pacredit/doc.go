// Package pacredit implements credit-based flow control for requests that one entry VM (the source)
// forwards to targets owned by another entry VM (the owner).
//
// A slot is the capacity of a target to run one request. The owner runs a Granter, which issues
// credits; each credit permits the source to start one request and expires after about two seconds.
// The source runs a Holder, which spends them. At any time, outstanding credits plus running remote
// requests do not exceed the slots that the owner had available when it issued the credits. A share
// of the slots is reserved for local requests, which need no credit.
//
// Messages may be lost, delayed, duplicated and reordered. Each Ask is answered once per sequence
// number, each credit is redeemed once by its index, and all state is bound to the incarnation of
// the peer: a number that rises with each start of its process. The holder counts a credit's term
// from when it sent the Ask; the granter counts it from when it granted, plus a margin. So a credit
// expires at the source before the owner reuses its slot.
package pacredit
