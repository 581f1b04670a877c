// Package paroom is the admission control of an entry VM.
//
// The capacity of an entry VM is limited by its connections, the requests and bytes in flight, and CPU
// time. A Controller counts the first three exactly and is given the fourth as a measured share. It
// refuses requests by class, the least urgent first, before a limit is reached. It also computes the
// weight of the entry VM in look-up answers, from 0 to 1, which changes slowly because callers cache
// these answers.
package paroom
