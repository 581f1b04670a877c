// Package panetwork is a network in memory, for programs that build many daemons in one process and
// make their network fail.
//
// A Network has Hosts, told apart by their IP addresses. A Host listens and dials like the operating
// system does; connections are streams with room for what is under way. Between two hosts a
// direction can be cut: bytes wait, as they do in TCP, until the cut heals or an end gives up. Single
// connections can be silenced for good while new ones work, as when a middlebox has lost track of
// them.
package panetwork
