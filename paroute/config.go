package paroute

import (
	"slices"
	"time"
)

// Config is one version of the configuration.
type Config struct {
	// Version rises with each accepted configuration, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keyed says that requests must carry a workspace's key, unless their route is public.
	Keyed      bool
	Workspaces []Workspace
}

// Route says where the requests of a host and path prefix go and what may be done with them.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Parts are the services that share the requests; most routes have one.
	Parts []WeightedService
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth most to the caller.
	TargetLatency time.Duration
	// Priority is the urgency of the route's requests; 0 is the most urgent.
	Priority int
	// Affinity says that a target that handled an object lately serves it faster.
	Affinity bool
	// AllowedRegions are the only regions that may handle the requests; empty allows all.
	AllowedRegions []string
	// Public says that requests need no key.
	Public bool
}

// WeightedService is a service that takes a share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is what all targets of a service have in common.
type Service struct {
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the most connections that a target takes from all callers together.
	MaxConnections int
	// WarmUp is how long a target stays cold after its start.
	WarmUp time.Duration
	// ColdRate is the number of requests a second that a cold target bears, from all callers together.
	ColdRate float64
}

// Limits bound what a caller may send and how long it may take or stay idle.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// AllowsRegion says whether a list of regions has one; an empty list has all.
func AllowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
