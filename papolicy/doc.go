// Package papolicy runs the decision code of a whole deployment against simulated callers, targets
// and failures, in simulated time and without sockets, and measures the outcome for callers.
//
// Operators use it to try a bundle's policy before they roll it out; the tests use it to hold the
// decisions against simpler baselines.
package papolicy
