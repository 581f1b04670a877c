package paroute

// Workspace is a customer whose requests carry one of its keys.
type Workspace struct {
	Name string
	// Keys are the credentials that its requests may carry.
	Keys []string
	// Rate is the number of requests a second that all entry VMs together may let run; 0 is no limit.
	Rate float64
	// Burst is how many more may run at once.
	Burst float64
	// Priority is the urgency of its requests in the place of their route's; nil leaves them that one.
	Priority *int
	// AllowedRegions are the only regions that may handle its requests, beside the route's own; empty allows all.
	AllowedRegions []string
}

// HasRateLimit says whether the workspace has a rate limit.
func (w *Workspace) HasRateLimit() bool { return w.Rate > 0 }
