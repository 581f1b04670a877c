package pabundle

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// FormatVersion is the version of the bundle format that this code reads and writes.
const FormatVersion = 1

// RegionName names a region, such as "centro".
type RegionName string

// ZoneName names an availability zone; it is unique over all regions.
type ZoneName string

// ServiceName names a service, such as "deposits".
type ServiceName string

// TargetName names a target VM; it is unique over all services.
type TargetName string

// EntryName names an entry VM; it is unique over all zones.
type EntryName string

// Digest is a SHA-256 in lower-case hexadecimal: of a piece's bytes or, for a bundle, of its manifest,
// which names all of its pieces.
type Digest string

// Sequence is the number of a roll-out of a deployment; each roll-out increases it by one.
type Sequence uint64

// BitRate is a rate in bits per second.
type BitRate int64

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration struct{ time.Duration }

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses the syntax of time.ParseDuration and returns a trace.BadParameter error for any other text.
func (d *Duration) UnmarshalText(b []byte) error {
	p, err := time.ParseDuration(string(b))
	if err != nil {
		return trace.BadParameter("duration %q: want a number with a unit, such as \"1.5s\"", b)
	}
	d.Duration = p
	return nil
}

// Bundle is one version of a deployment's whole configuration.
type Bundle struct {
	// Format is the version of the bundle format and must be FormatVersion.
	Format int
	// Deployment names the installation; a daemon accepts only bundles of its own deployment.
	Deployment string
	// Comment is the operators' note on this version.
	Comment string `json:",omitempty"`
	// Policy sets whether steering prefers headroom or latency.
	Policy Policy
	// Regions lists the regions and their zones.
	Regions []Region
	// Links lists the network links between regions, one entry for each direction.
	Links []Link
	// Services lists the services with their targets.
	Services []Service
	// ClientBlocks maps callers' addresses to regions by longest prefix match.
	ClientBlocks []ClientBlock
}

// Preference is the goal that a policy prefers.
type Preference string

// The values of Preference.
const (
	// HeadroomFirst keeps the load of regions and links further below their limits, at the cost of some latency.
	HeadroomFirst Preference = "Headroom"
	// LatencyFirst sends a request where it is expected to complete first, using limits up to the reserve.
	LatencyFirst Preference = "Latency"
)

// String returns the preference as encoded in the bundle.
func (p Preference) String() string { return string(p) }

// Policy sets the trade-off between the goals of steering.
type Policy struct {
	// First is the preferred goal.
	First Preference
	// Reserve is the fraction of each region's and link's limit that steering leaves unused, 0 to 0.5.
	Reserve float64
}

// Region is a set of availability zones with a common limit on requests in flight.
type Region struct {
	Name RegionName
	// Zones lists the availability zones of the region.
	Zones []ZoneName
	// MaxInFlight is the maximum number of requests that all targets of the region run concurrently.
	MaxInFlight int
}

// Link is the network link between two regions in one direction.
type Link struct {
	From, To RegionName
	// Capacity is the bit rate of the link, shared by all traffic in this direction.
	Capacity BitRate
}

// Service is a set of interchangeable targets and the rules for routing requests to them.
type Service struct {
	Name ServiceName
	// Timeout limits the duration of a request without a deadline of its own.
	Timeout Duration
	// MaxTimeout limits the deadline that a caller may request.
	MaxTimeout Duration
	// TypicalRun is the execution time of a typical request on a warm target, the initial value of run
	// time predictions.
	TypicalRun Duration
	// KeyMemory is how long the idempotency key of a request is remembered, so that repeats of the
	// request join the first copy or are refused.
	KeyMemory Duration
	// Shift limits how fast traffic moves between regions.
	Shift ShiftCap
	// Shares defines to which regions the callers of each region are sent; the shares with the same From
	// add up to 1.
	Shares []Share
	// Targets lists the VMs that run the service.
	Targets []Target
}

// Share is the fraction of the From region's requests for a service that the To region serves.
type Share struct {
	From, To RegionName
	// Share is a fraction from 0 to 1.
	Share float64
}

// ShiftCap limits the rate of a traffic shift: within any Window, no share changes by more than Share.
type ShiftCap struct {
	Share  float64
	Window Duration
}

// Target is a VM that runs a service.
type Target struct {
	Name TargetName
	Zone ZoneName
	// Address is the IP address and port where the target serves requests.
	Address netip.AddrPort
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// MaxConnections is the number of connections that the target accepts, from all entry VMs together.
	MaxConnections int
}

// ClientBlock assigns the callers of an address block to a region.
type ClientBlock struct {
	Prefix netip.Prefix
	Region RegionName
}

// Head is the record of a roll-out; the Head with the highest Sequence is in force.
type Head struct {
	Deployment string
	Sequence   Sequence
	// Digest identifies the bundle that is rolled out.
	Digest Digest
	// Previous identifies the bundle that was in force before; shifts start from its shares.
	Previous Digest `json:",omitempty"`
	// Start holds the shares in effect at RolledAt, for the services whose shares the bundle changes;
	// shifts begin with them. With it, the schedule of a shift depends only on the head and its bundle.
	Start map[ServiceName][]Share `json:",omitempty"`
	// RolledAt is when the operator's command wrote the head, by the operator's clock.
	RolledAt time.Time
	// RollID identifies the command that wrote the head. A command that lost the reply to its write reads
	// the head back and compares the RollID to learn whether the write succeeded.
	RollID string
	// Operator is the name of the person who rolled the bundle out.
	Operator string
}
