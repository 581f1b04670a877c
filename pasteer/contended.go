package pasteer

// contended reports whether the mechanisms for scarce slots apply to the service: the settings say that callers compete for
// its slots, or its targets report how slow work is there at this moment.
func (b *Balancer) contended(svc *service) bool { return b.Config.Contended || svc.tellsSlowness }
