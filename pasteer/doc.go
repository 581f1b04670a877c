// Package pasteer is the load balancer of an entry VM: it selects the target of each request or refuses the request at once.
//
// A Balancer knows the load and health of the targets from the entry VM's own requests and from the load that targets
// report in their responses. It does no I/O and reads no clock: callers pass the time and serialize all calls.
//
// A target is warm for an object while it holds that object's state in its cache; other requests for the object run
// cold there and take longer. The home of an object is the target that rendezvous hashing ranks first for it. A target
// itself is cold for some time after its start and then bears only a low request rate.
package pasteer
