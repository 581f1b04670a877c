// Command papayahead runs the daemons of the system and the operators' commands: gate, check, entry, bundle, timeline
// and look-up.
package main
