package paroute

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"papayahead/pakey"
)

// maxTimeout is the upper bound of a route's timeout; a longer one is most likely a wrong unit.
const maxTimeout = 10 * time.Minute

// Check validates a configuration and returns a message for operators for each fault, nil if there is none.
func Check(c *Config) []string {
	var faults []string
	fault := func(format string, arguments ...any) { faults = append(faults, fmt.Sprintf(format, arguments...)) }
	if c.Version <= 0 {
		fault("version %d: want a positive number", c.Version)
	}
	seen := map[string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, f := range checkRoute(r, c.Services) {
			fault("route %q: %s", r.Name, f)
		}
		match := strings.ToLower(r.Host) + r.Prefix
		if other, ok := seen[match]; ok {
			fault("routes %q and %q have the same host and prefix %s", other, r.Name, match)
		}
		seen[match] = r.Name
	}
	for name, s := range c.Services {
		if s.WarmUp > 0 && s.ColdRate <= 0 {
			fault("service %q: has a warm-up time but no cold rate, so cold targets would get no requests", name)
		}
	}
	return append(faults, CheckWorkspaces(c.Workspaces)...)
}

// CheckWorkspaces validates workspaces and returns a message for operators for each fault. The messages contain no keys.
func CheckWorkspaces(all []Workspace) []string {
	var faults []string
	holders := map[string]string{}
	for _, w := range all {
		fault := func(format string, arguments ...any) {
			faults = append(faults, fmt.Sprintf("workspace %q: ", w.Name)+fmt.Sprintf(format, arguments...))
		}
		if w.Name == "" || strings.ContainsFunc(w.Name, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
			fault("the name is empty or contains blanks or control characters")
		}
		for i, k := range w.Keys {
			other, held := holders[k]
			switch {
			case !pakey.Valid(k):
				fault("key %d is empty, too long or has characters that are invalid in a credential", i+1)
			case held && other == w.Name:
				fault("key %d is listed twice", i+1)
			case held:
				fault("key %d also belongs to workspace %q", i+1, other)
			}
			holders[k] = w.Name
		}
		if !finiteNonNegative(w.Rate) || !finiteNonNegative(w.Burst) {
			fault("rate %v and burst %v: want finite numbers, at least 0", w.Rate, w.Burst)
		}
		if slices.Contains(w.AllowedRegions, "") {
			fault("an allowed region has an empty name")
		}
	}
	return faults
}

func finiteNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// CheckRegions returns a message for each allowed region of a workspace that the deployment does not have. Parameter regions
// maps each availability zone of the deployment to its region.
func CheckRegions(all []Workspace, regions map[string]string) []string {
	known := slices.Collect(maps.Values(regions))
	var faults []string
	for _, w := range all {
		for _, r := range w.AllowedRegions {
			if !slices.Contains(known, r) {
				faults = append(faults, fmt.Sprintf("workspace %q: unknown region %q", w.Name, r))
			}
		}
	}
	return faults
}

func checkRoute(r *Route, services map[string]Service) []string {
	var faults []string
	if r.Host == "" {
		faults = append(faults, "no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		faults = append(faults, fmt.Sprintf("prefix %q: want a slash at both ends", r.Prefix))
	}
	if r.Timeout <= 0 || r.Timeout > maxTimeout {
		faults = append(faults, fmt.Sprintf("timeout %s: want more than 0 and at most %s", r.Timeout, maxTimeout))
	}
	if r.TargetLatency > r.Timeout {
		faults = append(faults, fmt.Sprintf("target latency %s exceeds the timeout %s", r.TargetLatency, r.Timeout))
	}
	var weight float64
	for _, p := range r.Parts {
		if _, ok := services[p.Service]; !ok {
			faults = append(faults, fmt.Sprintf("unknown service %q", p.Service))
		}
		weight += p.Weight
	}
	if weight <= 0 {
		faults = append(faults, "no service with a positive weight")
	}
	return faults
}
