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

// longestTimeout bounds the timeout of a route; a longer one is a slip of the unit.
const longestTimeout = 10 * time.Minute

// Check returns every fault of a configuration, in words for operators.
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
		where := strings.ToLower(r.Host) + r.Prefix
		if other, ok := seen[where]; ok {
			fault("routes %q and %q: both begin with %s", other, r.Name, where)
		}
		seen[where] = r.Name
	}
	for name, s := range c.Services {
		if s.WarmUp > 0 && s.ColdRate <= 0 {
			fault("service %q: cold targets would get nothing", name)
		}
	}
	return append(faults, CheckWorkspaces(c.Workspaces)...)
}

// CheckWorkspaces returns every fault of the workspaces, in words for operators that hold no key.
func CheckWorkspaces(all []Workspace) []string {
	var faults []string
	holder := map[string]string{}
	for _, w := range all {
		fault := func(format string, arguments ...any) {
			faults = append(faults, fmt.Sprintf("workspace %q: ", w.Name)+fmt.Sprintf(format, arguments...))
		}
		if w.Name == "" || strings.ContainsFunc(w.Name, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
			fault("a name has no blanks or control characters and is not empty")
		}
		for i, k := range w.Keys {
			other, held := holder[k]
			switch {
			case !pakey.Valid(k):
				fault("key %d is empty or has characters that no credential has", i+1)
			case held && other == w.Name:
				fault("key %d stands there twice", i+1)
			case held:
				fault("key %d is that of workspace %q too", i+1, other)
			}
			holder[k] = w.Name
		}
		if !finite(w.Rate) || !finite(w.Burst) {
			fault("rate %v and burst %v: want finite numbers of at least 0", w.Rate, w.Burst)
		}
		if slices.Contains(w.AllowedRegions, "") {
			fault("an allowed region has no name")
		}
	}
	return faults
}

func finite(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// CheckRegions returns a fault for each region that a workspace names and the deployment, whose regions are given by
// availability zone, does not have.
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
	if r.Timeout <= 0 || r.Timeout > longestTimeout {
		faults = append(faults, fmt.Sprintf("timeout %s: want more than 0 and at most %s", r.Timeout, longestTimeout))
	}
	if r.TargetLatency > r.Timeout {
		faults = append(faults, fmt.Sprintf("target latency %s is over the timeout %s", r.TargetLatency, r.Timeout))
	}
	var weight float64
	for _, p := range r.Parts {
		if _, ok := services[p.Service]; !ok {
			faults = append(faults, fmt.Sprintf("unknown service %q", p.Service))
		}
		weight += p.Weight
	}
	if weight <= 0 {
		faults = append(faults, "no service with a weight")
	}
	return faults
}
