// Package pabuffer bounds the bytes of bodies that a process holds in memory for callers and targets that read or write slowly.
//
// A body that is held can be sent to another target, or checked to its end before its first byte is passed on. A thousand callers
// that do not read their responses would hold more than the memory of a small VM. So each body takes from a Budget what it holds
// before it holds it. Once the budget is used up, bodies are passed on as they come, or their requests are refused: the less urgent
// ones first.
//
// The package does no I/O of its own.
package pabuffer
