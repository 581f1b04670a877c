// Package paconn keeps connections to targets and to relays for the requests that they carry. It decides which idle connection may
// carry a request, when a new one is opened, and which one is closed for lack of room, and names how
// an attempt on one failed.
package paconn
