// Package pasteer is the load balancer of an entry VM: it selects the target of each request or refuses the request at once.
//
// A Balancer knows the load and health of the targets from the entry VM's own requests and from the load that targets
// report in their responses. It does no I/O and reads no clock: callers pass the time and serialize all calls.
//
// The following terms are used throughout:
//
//   - A route divides its requests among one or more services by weight; each of these shares is a part of the route.
//   - A run is the processing of one request by a target. It occupies one of the target's slots. Requests that find no free
//     slot wait in the target's queue, and a target with a full queue sheds further ones.
//   - An object is what a request is about, and the key of its affinity. A target that handled an object lately is warm for
//     it, since it holds the object in its cache. A run there is a warm run. At any other target it is a cold run, which
//     takes about three times as long and evicts another object.
//   - The ranking of an object is the order in which rendezvous hashing sorts the targets of a service for it. Its home is
//     the target at which it runs while it is warm nowhere: usually the first of its ranking.
//   - A target is lost to this entry VM while connections to it fail. If another entry VM reaches it, the path between is the
//     cause, and a relay, one of those entry VMs, forwards the requests for it. A probe is a connection that is opened only to
//     learn whether the path works.
//   - The sender of a target is the entry VM of a zone that sends the zone's requests for it, if callers compete for the service's
//     slots. The others hand these requests over to it.
//   - A target itself is cold for some time after its start, whatever the objects. It then bears only a low request rate and
//     crashes above it.
package pasteer
