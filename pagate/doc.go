// Package pagate is the daemon of an entry VM: a reverse proxy that forwards each client request directly to a
// target.
//
// A Gate serves client requests over HTTP, answers look-ups of entry VM addresses, follows the platform's store,
// keeps itself registered there under a lease, and exchanges state with neighbouring entry VMs. Package pasteer
// chooses the target of a request; package pafleet holds what is known of the deployment. One goroutine, the control
// loop, owns that state; requests read immutable snapshots of it.
//
// A target is warm for an object that it handled lately, and handles further requests for it faster; otherwise the
// request runs cold. Entry VMs tell each other in warm notes which targets are warm for which objects.
//
// A few entry VMs, the store readers, watch the store on behalf of all others, which sync from them. One entry VM at
// a time is the limiter: each entry VM has a share of every workspace's rate limit, and the limiter keeps the rest in
// token pools.
//
// An entry VM whose own network path to the targets of a service failed hands requests for them to a relay: another entry VM
// that reaches them. Probes find out when the path works again.
package pagate
