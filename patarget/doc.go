// Package patarget is what an owner knows of one target VM, and how much work it may be given now.
//
// Only the owner of a target sends to it, so its slots are counted, not estimated. Health comes
// from the outcomes of the owner's own requests; the target's health and load endpoints can only
// take room away, for a bounded time, and never prove a failing target healthy. A target leaves
// for good at the earliest sign. All of it is plain state, changed by values and a passed-in time.
package patarget
