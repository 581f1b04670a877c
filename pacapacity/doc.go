// Package pacapacity measures what a daemon costs as the deployment grows.
//
// A Fleet holds many daemons' membership and spreading code in one process, on a network in memory and a clock that
// the Fleet moves. It is no model of the daemons: what runs is the code that they run, with the encoded bytes and the
// processor time of each counted. "go test ./pacapacity -run TestCapacity -capacity -v" prints the tables that
// docs/CAPACITY.md rests on.
package pacapacity
