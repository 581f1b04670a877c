// Package paowner decides, at one entry VM, what happens to each request: it starts on a target
// that the entry VM owns, is forwarded to another owner, waits in a queue, or is refused at once.
//
// An Owner is a state machine without I/O, clock or goroutines. Its commands take the current time
// and append Decisions, which the caller carries out; its queries change nothing. Every offered
// request ends exactly once: by a final decision (Refuse or Fail), by a Finish that reports an
// answer, or by a Cancel.
//
// Admission control is designed for load above capacity: a request is accepted only if it is
// predicted to complete before its deadline. Others are refused early, while the caller still has
// time to retry elsewhere.
package paowner
