// Package paoperator implements the operators' command line for bundles: check, propose, review, sign-off,
// roll-out, roll-back, status and diff.
//
// Commands builds the command tree for a program to include. Each command performs one operation
// through papayahead/paroll, prints the result as text or JSON, and returns an ExitCode that tells
// scripts whether anything changed.
package paoperator
