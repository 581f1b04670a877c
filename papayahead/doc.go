// Command papayahead runs the entry VM daemons (entry and gate) and the operators' commands: check,
// bundle, timeline and look-up.
package main
