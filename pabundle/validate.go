package pabundle

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// The limits of what a bundle may say. Each stands far above the deployments that are designed
// for, so that it only stops slips of a few digits, which would otherwise reach every daemon.
const (
	// maxNameLength keeps names fit for host names, headers and metrics.
	maxNameLength = 63
	// maxReserve leaves at least half of each limit to steering.
	maxReserve = 0.5
	// shareTolerance forgives sums of shares written with few digits; it is below one request in
	// a million, so no region gets traffic that no share names.
	shareTolerance = 1e-6
	// maxSlots and maxTargetConnections bound what one target VM may be asked to carry.
	maxSlots             = 10_000
	maxTargetConnections = 1_000_000
	// maxTime bounds timeouts and memories; a day covers the longest archive restore.
	maxTime = 24 * time.Hour
	// minWindow and maxWindow bound the window of a shift cap: below a second, measurements lag
	// behind the shift; above an hour, a fail-over would outlast the failure.
	minWindow = time.Second
	maxWindow = time.Hour
	// maxBitRate is 100 Tbit/s, above any link between two regions.
	maxBitRate = BitRate(100e12)
	// maxInFlight bounds a region.
	maxInFlight = 10_000_000
)

// Validate reports every fault of a bundle's meaning, without places in a file.
func (b Bundle) Validate() []FieldError {
	c := validator{bundle: b, regions: map[RegionName]bool{}, zones: map[ZoneName]RegionName{}, links: map[regionPair]bool{}}
	c.checkGeneral()
	c.checkRegions()
	c.checkLinks()
	c.checkServices()
	c.checkClientBlocks()
	return c.errors
}

// regionPair is a direction between two regions.
type regionPair struct{ from, to RegionName }

// validator collects the faults of one bundle.
type validator struct {
	bundle  Bundle
	errors  []FieldError
	regions map[RegionName]bool
	zones   map[ZoneName]RegionName
	links   map[regionPair]bool
}

func (c *validator) report(path, format string, arguments ...any) {
	c.errors = append(c.errors, FieldError{Path: path, Problem: fmt.Sprintf(format, arguments...)})
}

// checkRange reports a number outside of its limits.
func checkRange[N int | BitRate](c *validator, path string, given, low, high N) {
	if given < low || given > high {
		c.report(path, "%d given, want %d to %d", given, low, high)
	}
}

// checkDuration reports a duration outside of its limits.
func (c *validator) checkDuration(path string, given Duration, low, high time.Duration) {
	if given.Duration < low || given.Duration > high {
		c.report(path, "%s given, want %s to %s", given, low, high)
	}
}

// checkName reports a checkName that is not fit for host names, headers and metrics.
func (c *validator) checkName(path, given string) {
	if given == "" || len(given) > maxNameLength {
		c.report(path, "%q given, want 1 to %d characters", given, maxNameLength)
		return
	}
	for i, r := range given {
		letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		if !letter && (i == 0 || r != '-' && r != '_' && r != '.') {
			c.report(path, "%q given, want letters and digits, and after the first also - _ .", given)
			return
		}
	}
}

func (c *validator) checkGeneral() {
	b := c.bundle
	if b.Format != FormatVersion {
		c.report("Format", "%d given, want %d", b.Format, FormatVersion)
	}
	c.checkName("Deployment", b.Deployment)
	if b.Policy.First != HeadroomFirst && b.Policy.First != LatencyFirst {
		c.report("Policy.First", "%q given, want %q or %q", b.Policy.First, HeadroomFirst, LatencyFirst)
	}
	if !(b.Policy.Reserve >= 0 && b.Policy.Reserve <= maxReserve) {
		c.report("Policy.Reserve", "%v given, want 0 to %v", b.Policy.Reserve, maxReserve)
	}
}

func (c *validator) checkRegions() {
	if len(c.bundle.Regions) == 0 {
		c.report("Regions", "no region given, want at least one")
	}
	for i, r := range c.bundle.Regions {
		path := fmt.Sprintf("Regions[%d]", i)
		c.checkName(path+".Name", string(r.Name))
		if c.regions[r.Name] {
			c.report(path+".Name", "%q is given twice, want unique names", r.Name)
		}
		c.regions[r.Name] = true
		checkRange(c, path+".MaxInFlight", r.MaxInFlight, 1, maxInFlight)
		if len(r.Zones) == 0 {
			c.report(path+".Zones", "no zone given, want at least one")
		}
		for j, z := range r.Zones {
			c.checkZone(fmt.Sprintf("%s.Zones[%d]", path, j), r.Name, z)
		}
	}
}

func (c *validator) checkZone(path string, r RegionName, z ZoneName) {
	c.checkName(path, string(z))
	if other, ok := c.zones[z]; ok {
		c.report(path, "%q is already a zone of region %q, want unique names", z, other)
		return
	}
	c.zones[z] = r
}

func (c *validator) checkRegionName(path string, r RegionName) bool {
	if !c.regions[r] {
		c.report(path, "%q given, want the name of a region of this bundle", r)
		return false
	}
	return true
}

func (c *validator) checkLinks() {
	for i, l := range c.bundle.Links {
		path := fmt.Sprintf("Links[%d]", i)
		c.checkRegionName(path+".From", l.From)
		c.checkRegionName(path+".To", l.To)
		if l.From == l.To {
			c.report(path+".To", "%q is also From, want two regions", l.To)
		}
		if c.links[regionPair{l.From, l.To}] {
			c.report(path, "the link from %q to %q is given twice", l.From, l.To)
		}
		c.links[regionPair{l.From, l.To}] = true
		checkRange(c, path+".Capacity", l.Capacity, 1, maxBitRate)
	}
}

// indexedPrefix is one client indexedPrefix with its place in the list.
type indexedPrefix struct {
	prefix netip.Prefix
	index  int
}

func (c *validator) checkClientBlocks() {
	if len(c.bundle.ClientBlocks) == 0 {
		c.report("ClientBlocks", "no block given, want at least one")
	}
	blocks := make([]indexedPrefix, len(c.bundle.ClientBlocks))
	for i, b := range c.bundle.ClientBlocks {
		blocks[i] = indexedPrefix{b.Prefix, i}
		if !canonicalPrefix(b.Prefix) {
			c.report(blockPath(i)+".Prefix", "%s given, want a block in canonical form, such as %s", b.Prefix, b.Prefix.Masked())
		}
		if !c.regions[b.Region] {
			c.checkRegionName(blockPath(i)+".Region", b.Region)
		}
	}
	byPrefix := func(a, b indexedPrefix) int { return a.prefix.Compare(b.prefix) }
	slices.SortStableFunc(blocks, byPrefix)
	for i := 1; i < len(blocks); i++ {
		if blocks[i].prefix == blocks[i-1].prefix {
			c.report(blockPath(blocks[i].index)+".Prefix", "%s is already ClientBlocks[%d], want each block once", blocks[i].prefix, blocks[i-1].index)
		}
	}
}

func blockPath(i int) string { return fmt.Sprintf("ClientBlocks[%d]", i) }

// canonicalPrefix reports whether a block has no bits beyond its length and is no IPv4 block in
// the notation of IPv6, which no caller's address would match.
func canonicalPrefix(p netip.Prefix) bool {
	return p.IsValid() && p == p.Masked() && !p.Addr().Is4In6()
}

// validFraction reports whether a share is a number from low to 1.
func validFraction(share, low float64) bool {
	return !math.IsNaN(share) && share >= low && share <= 1
}
