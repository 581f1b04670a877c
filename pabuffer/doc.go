// Package pabuffer is the account of the memory that a process spends on its clients: their connections, the heads and bodies of requests
// and responses, messages between entry VMs, and what the system has received for the process and nobody has read.
//
// A crowd of clients, each within its own limits, would hold more than the memory of a small VM. So whoever holds bytes takes them from the
// Budget of the process before, and what finds no room is refused, or passed on as it comes: less urgent bodies first. Parts keep one
// kind from taking the room of all others, and an ordinary request needs none but that for Connections.
//
// A body that is held can be sent to another target, or checked to its end before its first byte is passed on.
//
// The package does no I/O of its own.
package pabuffer
