package pagate

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/paplatform"
	"papayahead/paquota"
	"papayahead/pasocket"
	"papayahead/pasteer"
)

// Settings are the validated settings of an entry VM.
type Settings struct {
	Name, Zone, Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Front is the listen address for client requests, Ready for the platform's readiness checks, Directory for
	// look-ups of entry VM addresses, and Peers for other entry VMs.
	Front, Ready, Directory, Peers netip.AddrPort
	// Seeds are peer addresses of some entry VMs to contact first; they may be out of date.
	Seeds []netip.AddrPort
	Store string
	// GracePeriod is the time between SIGTERM and the kill of the process.
	GracePeriod time.Duration
	// MaxPropagation is how soon after a write to the store a change must be in force at every entry VM: a
	// version of the configuration, or the notice of a target that it is draining.
	MaxPropagation time.Duration
	// Bootstrap says that the whole deployment starts for the first time.
	Bootstrap bool
	// MaxLookUpTTL is the longest time that clients may cache the response to a look-up.
	MaxLookUpTTL time.Duration
	// RetryRatio, RetryWindow and RetryFloor are the retry budget; see pasteer.Config.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryFloor  float64
	// MaxShift bounds the fraction of a region's traffic that is sent to other regions; see pasteer.Config.
	MaxShift float64
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// MaxRevocation is how soon a revoked API key must be rejected by every entry VM, even one that is
	// partitioned from the store; 0 means no bound.
	MaxRevocation time.Duration
	// Quota is the tolerance by which the platform lets rate limits be exceeded.
	Quota paquota.Tolerance
	// LinkMbps is the bandwidth of the VM's own link in Mbit/s; 0 means unknown.
	LinkMbps float64
	// MemoryMB is the memory limit of the process in megabytes; 0 means unknown.
	MemoryMB float64
	// Sockets is how many sockets the process may have; 0 means unknown.
	Sockets int
	// Contended says that callers compete for too few slots at times; see pasteer.Config.
	Contended bool
}

// Headers are the names of the headers exchanged with clients and targets.
type Headers struct {
	// RequestID identifies a request; targets repeat it in their responses.
	RequestID string
	// Deadline is how many milliseconds the client, or the entry VM, will wait for the response.
	Deadline string
	// ObjectCookie is the cookie that names the object of a request, the key of its affinity.
	ObjectCookie string
	// ExpectedInstance names the target that a request is meant for; any other target refuses it.
	ExpectedInstance string
	// Instance names the target that responds.
	Instance string
	// NotExecuted is present if a target did not execute the request.
	NotExecuted string
	// Load holds a target's running requests, queued requests and slots, separated by commas.
	Load string
	// Limit is the rate of requests that a target takes from all entry VMs together, in requests a second; it is absent
	// unless the target is in need.
	Limit string
	// Draining is present, and not 0, if the target is shutting down.
	Draining string
	// RetryAfter is for how many seconds a target that responds 503 wants no requests from this entry VM.
	RetryAfter string
	// WarmUp is how many more milliseconds a target takes to warm up.
	WarmUp string
	// Workspace names the workspace whose API key the request carried.
	Workspace string
}

// LookUp is a client's query for entry VM addresses, with the client's zone and region if it knows them.
type LookUp struct{ Host, Zone, Region string }

// Codec parses and answers the calls of clients and of the platform that do not go to a target. ParseLookUp returns
// false if the request is no look-up.
type Codec interface {
	ParseLookUp(r *http.Request) (LookUp, bool)
	WriteLookUp(w http.ResponseWriter, addresses []netip.AddrPort, ttl time.Duration) error
	IsReadyCheck(r *http.Request) bool
}

// Scope is a part of the platform's store.
type Scope int

// The parts of the store that are read apart.
const (
	// AllKeys is the whole store.
	AllKeys Scope = iota
	// OperatorKeys is what operators write: the configuration and the evacuated zones.
	OperatorKeys
)

// Registry reads and writes the platform's store; its errors are those of paplatform.
//
// List returns the content of a scope and its revision, Watch the changes after a revision, waiting for the first of them.
// Register writes the entry VM's registration under a lease. ClaimLimiter makes the named entry VM the limiter if the
// limiter key is at the expected revision, 0 if it must not exist, and returns the new revision.
type Registry interface {
	List(ctx context.Context, s Scope) ([]pafleet.Change, pafleet.Revision, error)
	Watch(ctx context.Context, s Scope, after pafleet.Revision, wait time.Duration) ([]pafleet.Change, pafleet.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (paplatform.LeaseID, error)
	RenewLease(ctx context.Context, lease paplatform.LeaseID) error
	RevokeLease(ctx context.Context, lease paplatform.LeaseID) error
	Register(ctx context.Context, e pafleet.Entry, lease paplatform.LeaseID) error
	// SaveWarmNotes replaces the saved notes on which target is warm for which object.
	SaveWarmNotes(ctx context.Context, notes []pafleet.WarmNote) error
	ClaimLimiter(ctx context.Context, name string, expected pafleet.Revision, lease paplatform.LeaseID) (pafleet.Revision, error)
}

// Network dials and listens.
type Network interface {
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	Listen(address netip.AddrPort) (net.Listener, error)
}

// Config is the configuration of a Gate. Recorder may be nil.
type Config struct {
	Settings Settings
	Headers  Headers
	Codec    Codec
	Registry Registry
	Network  Network
	Clock    clockwork.Clock
	// Uptime is the time since the machine started, including suspended time; if nil, the Clock is used, which
	// may not count suspended time.
	Uptime   func() time.Duration
	Random   *rand.Rand
	Recorder *paevent.Recorder
	// Off are the mechanisms of the balancer that are switched off.
	Off pasteer.Off
	// StoreTraffic counts the bytes of the connections to the store; it may be nil.
	StoreTraffic *pasocket.Traffic
	// OnReceived is called when what the system may hold of unread connections has changed by much, with the bytes; it may be nil.
	OnReceived func(bytes int64)
	// Version is the program's version, for the log.
	Version string
}
