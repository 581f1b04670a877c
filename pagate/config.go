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

// Settings is the checked settings of an entry VM.
type Settings struct {
	Name, Zone, Region string
	// Regions tells the region of each availability zone.
	Regions map[string]string
	// Front is where callers connect, Ready where the platform asks whether the process is ready,
	// Directory where callers look up entry VMs, and Peers where other entry VMs connect.
	Front, Ready, Directory, Peers netip.AddrPort
	// Seeds are peer addresses of some entry VMs; they may be out of date.
	Seeds []netip.AddrPort
	// Store is the address of the platform's store.
	Store string
	// GracePeriod is how long after SIGTERM the process is killed.
	GracePeriod time.Duration
	// MaxPropagation is how soon what the store holds must be in force: a version of the configuration, or a target's word
	// that it leaves.
	MaxPropagation time.Duration
	// Bootstrap says that the whole deployment starts for the first time.
	Bootstrap bool
	// MaxLookUpTTL is the longest time that callers keep the answer of a look-up.
	MaxLookUpTTL time.Duration
	// RetryRatio, RetryWindow and RetryFloor bound further attempts; see pasteer.Config.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryFloor  float64
	// MaxShift bounds how much of a region's traffic changes its region; see pasteer.Config.
	MaxShift float64
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// MaxRevocation is how soon a key that was taken away must be out of force everywhere, whatever is cut off; 0 is no bound.
	MaxRevocation time.Duration
	// Quota are the platform's terms for rate limits.
	Quota paquota.Tolerance
	// LinkMbps is the bandwidth of the own link; 0 is not known.
	LinkMbps float64
}

// Headers are the names of the headers that callers and targets use.
type Headers struct {
	// RequestID names a request; targets repeat it in their answers.
	RequestID string
	// Deadline is how many milliseconds the caller, or the entry VM, will wait.
	Deadline string
	// ObjectCookie is the cookie that names the object of a request.
	ObjectCookie string
	// ExpectedInstance is the target that a request is for; any other refuses it.
	ExpectedInstance string
	// Instance names the target that answers.
	Instance string
	// NotExecuted is present where a target did not run the request.
	NotExecuted string
	// Load is a target's running requests, waiting requests and slots, separated by commas.
	Load string
	// WarmUp is how many milliseconds a target stays cold.
	WarmUp string
	// Workspace names the workspace whose key the request carried.
	Workspace string
}

// LookUp is a caller's question where to connect.
type LookUp struct{ Host, Zone, Region string }

// Codec reads and answers the calls of callers and of the platform.
type Codec interface {
	ParseLookUp(r *http.Request) (LookUp, bool)
	WriteLookUp(w http.ResponseWriter, all []netip.AddrPort, life time.Duration) error
	IsReadyCheck(r *http.Request) bool
}

// Registry is what a Gate reads and writes in the platform's store; errors are those of paplatform.
type Registry interface {
	List(ctx context.Context) ([]pafleet.Change, pafleet.Revision, error)
	Watch(ctx context.Context, after pafleet.Revision, wait time.Duration) ([]pafleet.Change, pafleet.Revision, error)
	GrantLease(ctx context.Context, life time.Duration) (paplatform.LeaseID, error)
	RenewLease(ctx context.Context, l paplatform.LeaseID) error
	RevokeLease(ctx context.Context, l paplatform.LeaseID) error
	Register(ctx context.Context, e pafleet.Entry, l paplatform.LeaseID) error
	SaveWarmNotes(ctx context.Context, notes []pafleet.WarmNote) error
	ClaimLimiter(ctx context.Context, name string, was pafleet.Revision, l paplatform.LeaseID) (pafleet.Revision, error)
}

// Network opens connections and listens.
type Network interface {
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	Listen(address netip.AddrPort) (net.Listener, error)
}

// Config is what a Gate needs.
type Config struct {
	Settings Settings
	Headers  Headers
	Codec    Codec
	Registry Registry
	Network  Network
	Clock    clockwork.Clock
	// Uptime is the time since the machine started, suspended time included; nil is the Clock's time, which may not
	// count that.
	Uptime   func() time.Duration
	Random   *rand.Rand
	Recorder *paevent.Recorder
	// Off are the mechanisms of the steering that are switched off.
	Off pasteer.Off
	// StoreTraffic counts the bytes of the connections to the store; nil is not counted.
	StoreTraffic *pasocket.Traffic
	// Version is the program's version, for the log.
	Version string
}
