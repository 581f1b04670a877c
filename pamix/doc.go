// Package pamix bounds how fast the regions change in which the requests of an entry VM run while callers crowd in.
//
// When the callers of several zones come to one region, its own targets are full at once, and what is refused is mostly what would
// run there. The requests that run are then others than before: most run in other regions, within a second, though no object moved. A Mix
// compares where requests run with where they ran a window earlier, and tells which regions get no more of them for now. It does no I/O
// and reads no clock; callers pass the time and serialize all calls.
package pamix
