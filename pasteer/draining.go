package pasteer

import "time"

// A target that shuts down reports that to the store, or says so in its responses, or both; the first word counts. What a response
// said holds for the rest of the target's lifetime, whatever later responses and the store say.

// NoteDraining records that a target said in a response that it is shutting down, and reports whether that is new.
func (b *Balancer) NoteDraining(target string, born int64, now time.Time) bool {
	id := lifetime{target, born}
	if _, known := b.drainings[id]; known {
		return false
	}
	b.drainings[id] = now
	if t := b.targets[target]; t != nil && t.state.Born == born {
		t.excluded = true
	}
	return true
}

// saysDraining reports whether a lifetime of a target said that it is shutting down.
func (b *Balancer) saysDraining(target string, born int64) bool {
	_, said := b.drainings[lifetime{target, born}]
	return said
}

// ServiceOf returns the service of a target; empty if the target is unknown.
func (b *Balancer) ServiceOf(target string) string {
	if t := b.targets[target]; t != nil {
		return t.state.Service
	}
	return ""
}

// DrainingTargets returns how many targets said in a response that they are shutting down.
func (b *Balancer) DrainingTargets() int { return len(b.drainings) }

// expireDrainings drops those of earlier lifetimes, and the first of too many whose targets are missing.
func (b *Balancer) expireDrainings() {
	var absent []lifetime
	for id := range b.drainings {
		switch t := b.targets[id.target]; {
		case t == nil:
			absent = append(absent, id)
		case t.state.Born != id.born:
			delete(b.drainings, id)
		}
	}
	for _, id := range beyondBound(absent, func(x, y lifetime) int { return b.drainings[x].Compare(b.drainings[y]) }) {
		delete(b.drainings, id)
	}
}
