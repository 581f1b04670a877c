package pabundle

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Limits on the values in a bundle. Each is far above the deployments that the system is designed for:
// they only catch typing errors of a few digits, which would otherwise reach every daemon.
const (
	// maxNameLength is the maximum length of a host name label; names are used in host names, headers and
	// metrics.
	maxNameLength = 63
	// maxReserve leaves at least half of each limit usable.
	maxReserve = 0.5
	// shareTolerance is the accepted error of a sum of shares, for shares rounded to few digits. It is
	// at most one request in a million, so no region gets noticeable traffic that no share assigns to it.
	shareTolerance = 1e-6
	// maxSlots and maxTargetConnections limit the load of one target VM.
	maxSlots             = 10_000
	maxTargetConnections = 1_000_000
	// maxTime limits timeouts and KeyMemory; a day covers the longest restore from an archive.
	maxTime = 24 * time.Hour
	// minWindow and maxWindow limit the window of a shift cap: below a second, measurements lag behind the
	// shift; above an hour, a fail-over would take longer than the failure lasts.
	minWindow = time.Second
	maxWindow = time.Hour
	// maxBitRate is 100 Tbit/s, above any link between two regions.
	maxBitRate = BitRate(100e12)
	// maxInFlight limits the requests in flight of a region.
	maxInFlight = 10_000_000
)

// Validate checks the values of a bundle and returns all errors, without lines and columns.
func (b Bundle) Validate() []FieldError {
	v := validator{bundle: b, regions: map[RegionName]bool{}, zones: map[ZoneName]RegionName{}, links: map[regionPair]bool{}}
	v.checkGeneral()
	v.checkRegions()
	v.checkLinks()
	v.checkServices()
	v.checkClientBlocks()
	return v.errors
}

// regionPair is an ordered pair of regions.
type regionPair struct{ from, to RegionName }

// validator checks one bundle and collects its errors. The maps are filled by
// checkRegions and checkLinks, so those run before the checks that use them.
type validator struct {
	bundle  Bundle
	errors  []FieldError
	regions map[RegionName]bool
	zones   map[ZoneName]RegionName
	links   map[regionPair]bool
}

func (v *validator) report(path, format string, arguments ...any) {
	v.errors = append(v.errors, FieldError{Path: path, Problem: fmt.Sprintf(format, arguments...)})
}

// checkRange reports a number outside of low to high.
func checkRange[N int | BitRate](v *validator, path string, given, low, high N) {
	if given < low || given > high {
		v.report(path, "%d given, want %d to %d", given, low, high)
	}
}

// checkDuration reports a duration outside of low to high.
func (v *validator) checkDuration(path string, given Duration, low, high time.Duration) {
	if given.Duration < low || given.Duration > high {
		v.report(path, "%s given, want %s to %s", given, low, high)
	}
}

// checkName reports a checkName that is not fit for host names, headers and metrics.
func (v *validator) checkName(path, given string) {
	if given == "" || len(given) > maxNameLength {
		v.report(path, "%q given, want 1 to %d characters", given, maxNameLength)
		return
	}
	for i, r := range given {
		letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		if !letter && (i == 0 || r != '-' && r != '_' && r != '.') {
			v.report(path, "%q given, want letters and digits, and after the first also - _ .", given)
			return
		}
	}
}

// checkGeneral checks the format version, the deployment's name and the policy.
func (v *validator) checkGeneral() {
	b := v.bundle
	if b.Format != FormatVersion {
		v.report("Format", "%d given, want %d", b.Format, FormatVersion)
	}
	v.checkName("Deployment", b.Deployment)
	if b.Policy.First != HeadroomFirst && b.Policy.First != LatencyFirst {
		v.report("Policy.First", "%q given, want %q or %q", b.Policy.First, HeadroomFirst, LatencyFirst)
	}
	if !(b.Policy.Reserve >= 0 && b.Policy.Reserve <= maxReserve) {
		v.report("Policy.Reserve", "%v given, want 0 to %v", b.Policy.Reserve, maxReserve)
	}
}

func (v *validator) checkRegions() {
	if len(v.bundle.Regions) == 0 {
		v.report("Regions", "no region given, want at least one")
	}
	for i, r := range v.bundle.Regions {
		path := fmt.Sprintf("Regions[%d]", i)
		v.checkName(path+".Name", string(r.Name))
		if v.regions[r.Name] {
			v.report(path+".Name", "%q is given twice, want unique names", r.Name)
		}
		v.regions[r.Name] = true
		checkRange(v, path+".MaxInFlight", r.MaxInFlight, 1, maxInFlight)
		if len(r.Zones) == 0 {
			v.report(path+".Zones", "no zone given, want at least one")
		}
		for j, z := range r.Zones {
			v.checkZone(fmt.Sprintf("%s.Zones[%d]", path, j), r.Name, z)
		}
	}
}

func (v *validator) checkZone(path string, r RegionName, z ZoneName) {
	v.checkName(path, string(z))
	if other, ok := v.zones[z]; ok {
		v.report(path, "%q is already a zone of region %q, want unique names", z, other)
		return
	}
	v.zones[z] = r
}

// checkRegionName reports the name of a region that the bundle does not define.
func (v *validator) checkRegionName(path string, r RegionName) bool {
	if !v.regions[r] {
		v.report(path, "%q given, want the name of a region of this bundle", r)
		return false
	}
	return true
}

func (v *validator) checkLinks() {
	for i, l := range v.bundle.Links {
		path := fmt.Sprintf("Links[%d]", i)
		v.checkRegionName(path+".From", l.From)
		v.checkRegionName(path+".To", l.To)
		if l.From == l.To {
			v.report(path+".To", "%q is also From, want two regions", l.To)
		}
		if v.links[regionPair{l.From, l.To}] {
			v.report(path, "the link from %q to %q is given twice", l.From, l.To)
		}
		v.links[regionPair{l.From, l.To}] = true
		checkRange(v, path+".Capacity", l.Capacity, 1, maxBitRate)
	}
}

// indexedPrefix is the prefix of a client block and its index in ClientBlocks.
type indexedPrefix struct {
	prefix netip.Prefix
	index  int
}

func (v *validator) checkClientBlocks() {
	if len(v.bundle.ClientBlocks) == 0 {
		v.report("ClientBlocks", "no block given, want at least one")
	}
	blocks := make([]indexedPrefix, len(v.bundle.ClientBlocks))
	for i, b := range v.bundle.ClientBlocks {
		blocks[i] = indexedPrefix{b.Prefix, i}
		if !canonicalPrefix(b.Prefix) {
			v.report(blockPath(i)+".Prefix", "%s given, want a block in canonical form, such as %s", b.Prefix, b.Prefix.Masked())
		}
		if !v.regions[b.Region] {
			v.checkRegionName(blockPath(i)+".Region", b.Region)
		}
	}
	byPrefix := func(a, b indexedPrefix) int { return a.prefix.Compare(b.prefix) }
	slices.SortStableFunc(blocks, byPrefix)
	for i := 1; i < len(blocks); i++ {
		if blocks[i].prefix == blocks[i-1].prefix {
			v.report(blockPath(blocks[i].index)+".Prefix", "%s is already ClientBlocks[%d], want each block once",
				blocks[i].prefix, blocks[i-1].index)
		}
	}
}

func blockPath(i int) string { return fmt.Sprintf("ClientBlocks[%d]", i) }

// canonicalPrefix reports whether a prefix has no host bits set and is not an IPv4-mapped IPv6 prefix,
// which would not match any caller's address.
func canonicalPrefix(p netip.Prefix) bool {
	return p.IsValid() && p == p.Masked() && !p.Addr().Is4In6()
}

// validFraction reports whether a share is a number (not NaN) from low to 1.
func validFraction(share, low float64) bool {
	return !math.IsNaN(share) && share >= low && share <= 1
}
