package paport

// Shares are how many of its sockets a process uses for each purpose at most; 0 means no bound.
//
// Without them clients that hold connections open would take all descriptors, and the process would then reach no target, store or
// neighbour, while it says that it is ready.
type Shares struct {
	// Clients are connections of clients, Refusing those of further clients that are told to come back.
	Clients, Refusing int
	// LookUps and Readiness are connections to the ports for look-ups and readiness checks.
	LookUps, Readiness int
	// Peers are connections of other entry VMs: their calls, and the requests that they relay. They are part of what is left, and of that
	// for clients, as what is relayed here comes from no client here.
	Peers int
	// Targets are connections to targets and to relays.
	Targets int
}

// The parts of the sockets by purpose, as fractions. A request in progress takes a connection of its client and one to a target or to a
// relay. What is left is for the store, for other entry VMs and for sockets that are being closed.
const (
	clientsPart   = 0.375
	targetsPart   = 0.375
	refusingPart  = 0.0625
	lookUpsPart   = 0.0625
	readinessPart = 0.015625
	peersPart     = 0.25
)

// Divide returns the shares of a number of sockets. If it is unknown, 0, there are no bounds.
func Divide(sockets int) Shares {
	if sockets <= 0 {
		return Shares{}
	}
	share := func(part float64) int { return max(1, int(part*float64(sockets))) }
	return Shares{
		Clients: share(clientsPart), Refusing: share(refusingPart), LookUps: share(lookUpsPart),
		Readiness: share(readinessPart), Targets: share(targetsPart), Peers: share(peersPart),
	}
}
