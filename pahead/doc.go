// Package pahead finds where the heads of requests and responses end, before they are parsed, and checks and counts them on the way.
//
// A head that is parsed costs many times its bytes in memory: a line of four bytes costs hundreds. And a parser that is lenient with the
// names of fields finds other fields, and so another end of the body, than the next server does. A Scanner reads a head as it arrives,
// so that one that costs too much, or is none, is given up before anything was built of it.
//
// The package does no I/O of its own.
package pahead
