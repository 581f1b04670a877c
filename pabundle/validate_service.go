package pabundle

import (
	"fmt"
	"math"
	"net/netip"
)

// uniqueValues collects what must be unique over all services.
type uniqueValues struct {
	services  map[ServiceName]bool
	targets   map[TargetName]string
	addresses map[netip.AddrPort]string
}

func (c *validator) checkServices() {
	if len(c.bundle.Services) == 0 {
		c.report("Services", "no service given, want at least one")
	}
	names := uniqueValues{map[ServiceName]bool{}, map[TargetName]string{}, map[netip.AddrPort]string{}}
	for i, s := range c.bundle.Services {
		path := fmt.Sprintf("Services[%d]", i)
		c.checkName(path+".Name", string(s.Name))
		if names.services[s.Name] {
			c.report(path+".Name", "%q is given twice, want unique names", s.Name)
		}
		names.services[s.Name] = true
		c.checkTimeouts(path, s)
		c.checkShiftCap(path+".Shift", s.Shift)
		c.checkTargets(path, s, names)
		c.checkShares(path, s)
		if data := encode(s); len(data) > MaxPieceSize {
			c.report(path, "the service takes %d bytes, at most %d allowed: split it in two", len(data), MaxPieceSize)
		}
	}
}

func (c *validator) checkTimeouts(path string, s Service) {
	c.checkDuration(path+".Timeout", s.Timeout, 1, maxTime)
	c.checkDuration(path+".MaxTimeout", s.MaxTimeout, 1, maxTime)
	c.checkDuration(path+".TypicalRun", s.TypicalRun, 1, maxTime)
	c.checkDuration(path+".KeyMemory", s.KeyMemory, 1, maxTime)
	if s.Timeout.Duration <= 0 || s.MaxTimeout.Duration <= 0 {
		return
	}
	if s.Timeout.Duration > s.MaxTimeout.Duration {
		c.report(path+".Timeout", "%s given, want at most MaxTimeout, %s", s.Timeout, s.MaxTimeout)
	}
	if s.TypicalRun.Duration > s.Timeout.Duration {
		c.report(path+".TypicalRun", "%s given, want at most Timeout, %s: every request would be refused", s.TypicalRun, s.Timeout)
	}
	// A key that is forgotten while its first copy may still run lets the repeat run beside it.
	if s.KeyMemory.Duration < s.MaxTimeout.Duration {
		c.report(path+".KeyMemory", "%s given, want at least MaxTimeout, %s: a repeat could run beside its first copy", s.KeyMemory, s.MaxTimeout)
	}
}

func (c *validator) checkShiftCap(path string, s ShiftCap) {
	if !validFraction(s.Share, 0) || s.Share == 0 {
		c.report(path+".Share", "%v given, want a number above 0, up to 1", s.Share)
	}
	c.checkDuration(path+".Window", s.Window, minWindow, maxWindow)
}

func (c *validator) checkTargets(path string, s Service, names uniqueValues) {
	if len(s.Targets) == 0 {
		c.report(path+".Targets", "no target given, want at least one")
	}
	for i, t := range s.Targets {
		here := fmt.Sprintf("%s.Targets[%d]", path, i)
		c.checkName(here+".Name", string(t.Name))
		if other, ok := names.targets[t.Name]; ok {
			c.report(here+".Name", "%q is already %s, want unique names", t.Name, other)
		}
		names.targets[t.Name] = here
		if _, ok := c.zones[t.Zone]; !ok {
			c.report(here+".Zone", "%q given, want the name of a zone of this bundle", t.Zone)
		}
		c.checkAddress(here+".Address", t.Address, here, names)
		checkRange(c, here+".Slots", t.Slots, 1, maxSlots)
		checkRange(c, here+".MaxConnections", t.MaxConnections, max(t.Slots, 1), maxTargetConnections)
	}
}

func (c *validator) checkAddress(path string, a netip.AddrPort, target string, names uniqueValues) {
	ip := a.Addr()
	switch {
	case !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		c.report(path, "%s given, want the unicast address of one VM", a)
	case ip.Is4In6():
		c.report(path, "%s given, want the IPv4 notation %s", a, netip.AddrPortFrom(ip.Unmap(), a.Port()))
	case a.Port() == 0:
		c.report(path, "%s given, want a port from 1 to 65535", a)
	}
	if other, ok := names.addresses[a]; ok && ip.IsValid() {
		c.report(path, "%s is already the address of %s, want each once", a, other)
	}
	names.addresses[a] = target
}

func (c *validator) checkShares(path string, s Service) {
	serving := map[RegionName]bool{}
	for _, t := range s.Targets {
		serving[c.zones[t.Zone]] = true
	}
	sums := map[RegionName]float64{}
	seen := map[regionPair]bool{}
	for i, h := range s.Shares {
		here := fmt.Sprintf("%s.Shares[%d]", path, i)
		known := c.checkRegionName(here+".From", h.From)
		known = c.checkRegionName(here+".To", h.To) && known
		if seen[regionPair{h.From, h.To}] {
			c.report(here, "the share from %q to %q is given twice", h.From, h.To)
		}
		seen[regionPair{h.From, h.To}] = true
		if !validFraction(h.Share, 0) {
			c.report(here+".Share", "%v given, want 0 to 1", h.Share)
		}
		sums[h.From] += h.Share
		if known && h.Share > 0 {
			c.checkShareReachable(here, h, serving)
		}
	}
	for _, r := range c.bundle.Regions {
		if sum := sums[r.Name]; !(math.Abs(sum-1) <= shareTolerance) {
			c.report(path+".Shares", "the shares from %q add up to %v, want 1", r.Name, sum)
		}
	}
}

// checkShareReachable reports a share that has no targets to go to, or no link for requests and answers.
func (c *validator) checkShareReachable(path string, h Share, serving map[RegionName]bool) {
	if !serving[h.To] {
		c.report(path+".To", "%q has no target of this service", h.To)
	}
	if h.From == h.To {
		return
	}
	for _, l := range []regionPair{{h.From, h.To}, {h.To, h.From}} {
		if !c.links[l] {
			c.report(path, "no link from %q to %q is given, which this share needs", l.from, l.to)
		}
	}
}
