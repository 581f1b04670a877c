// Package paport keeps the ports of a process served: it divides the descriptors of the process between the connections that
// others open and its own, and accepts connections again after an error.
package paport
