// Package pasteer decides where each request goes, or that it is refused at once.
//
// A Balancer holds what one entry VM knows of the load and health of targets, from its own requests and
// from what targets tell in their answers. It does no I/O and reads no clock; callers serialize the
// calls and pass the time in.
package pasteer
