package paroute

import (
	"slices"
	"time"
)

// Config is one version of the routing configuration.
type Config struct {
	// Version rises with each accepted configuration, not necessarily by one.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keyed is set if requests must carry the key of a workspace, unless their route is public.
	Keyed      bool
	Workspaces []Workspace
}

// Route defines how requests with a host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Parts are the services among which the requests are divided; most routes have one.
	Parts []WeightedService
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// MaxAttempts is the maximum number of targets to which one request may be sent.
	MaxAttempts int
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// TargetLatency is the response time that callers want; a later response is worth less to them.
	TargetLatency time.Duration
	// Priority is the urgency of the route's requests; 0 is the most urgent.
	Priority int
	// Affinity is set if a target serves an object faster when it handled that object recently.
	Affinity bool
	// AllowedRegions are the regions that may handle the requests; empty allows all.
	AllowedRegions []string
	// Public is set if requests need no key.
	Public bool
}

// HasService reports whether requests of the route are sent to the service.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.Parts, func(p WeightedService) bool { return p.Service == name && p.Weight > 0 })
}

// WeightedService is a service that gets a share of a route's requests in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service holds the settings that all targets of a service have in common.
type Service struct {
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that a target accepts from all callers together.
	MaxConnections int
	// WarmUp is the time after its start for which a target is cold.
	WarmUp time.Duration
	// ColdRate is the number of requests per second that a cold target can serve, from all callers together.
	ColdRate float64
}

// Limits bound the size of a request, in bytes, and the time that a caller may take to send its header or stay idle.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// AllowsRegion reports whether a list of allowed regions contains a region. An empty list allows all.
func AllowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
