package paroute

// Workspace is a customer whose requests carry one of its keys.
type Workspace struct {
	Name string
	// Keys are the API keys that its requests may carry.
	Keys []string
	// Rate is the number of requests per second that all entry VMs together may admit; 0 means no limit.
	Rate float64
	// Burst is the number of additional requests that may run at once.
	Burst float64
	// Priority replaces the priority of the route for its requests; nil keeps that of the route.
	Priority *int
	// AllowedRegions are the regions that may handle its requests, within those that the route allows; empty allows all.
	AllowedRegions []string
}

// HasRateLimit reports whether the workspace has a rate limit.
func (w *Workspace) HasRateLimit() bool { return w.Rate > 0 }
