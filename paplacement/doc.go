// Package paplacement chooses where a request goes: to this entry VM's own targets, to another owner
// in the region or to another region, and to which of the entry VM's own targets.
//
// Hard limits come first and are inputs: the share of requests that may go to another region, the
// credits held and the free capacity of the link. Among the candidates within the limits the policy
// decides: LatencyFirst chooses the earliest expected completion; HeadroomFirst also weighs utilization,
// and chooses another region only if no candidate in this region is expected to answer in time.
package paplacement
