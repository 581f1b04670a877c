// Package pagate is the daemon of an entry VM: a reverse proxy that forwards each client request directly to a
// target.
//
// A Gate serves client requests over HTTP, answers look-ups of entry VM addresses, follows the platform's store,
// keeps itself registered there under a lease, and exchanges state with neighbouring entry VMs. Package pasteer
// chooses the target of a request; package pafleet holds what is known of the deployment. One goroutine, the control
// loop, owns that state; requests read immutable snapshots of it.
package pagate
