package pabundle

import (
	"fmt"
	"math"
	"net/netip"
)

// uniqueValues collects the names and addresses that must be unique across all services. targets and
// addresses map to the path of the target that has the name or address.
type uniqueValues struct {
	services  map[ServiceName]bool
	targets   map[TargetName]string
	addresses map[netip.AddrPort]string
}

func (v *validator) checkServices() {
	if len(v.bundle.Services) == 0 {
		v.report("Services", "no service given, want at least one")
	}
	names := uniqueValues{map[ServiceName]bool{}, map[TargetName]string{}, map[netip.AddrPort]string{}}
	for i, s := range v.bundle.Services {
		path := fmt.Sprintf("Services[%d]", i)
		v.checkName(path+".Name", string(s.Name))
		if names.services[s.Name] {
			v.report(path+".Name", "%q is given twice, want unique names", s.Name)
		}
		names.services[s.Name] = true
		v.checkTimeouts(path, s)
		v.checkShiftCap(path+".Shift", s.Shift)
		v.checkTargets(path, s, names)
		v.checkShares(path, s)
		if data := encode(s); len(data) > MaxPieceSize {
			v.report(path, "the service takes %d bytes, at most %d allowed: split it in two", len(data), MaxPieceSize)
		}
	}
}

func (v *validator) checkTimeouts(path string, s Service) {
	v.checkDuration(path+".Timeout", s.Timeout, 1, maxTime)
	v.checkDuration(path+".MaxTimeout", s.MaxTimeout, 1, maxTime)
	v.checkDuration(path+".TypicalRun", s.TypicalRun, 1, maxTime)
	v.checkDuration(path+".KeyMemory", s.KeyMemory, 1, maxTime)
	if s.Timeout.Duration <= 0 || s.MaxTimeout.Duration <= 0 {
		return
	}
	if s.Timeout.Duration > s.MaxTimeout.Duration {
		v.report(path+".Timeout", "%s given, want at most MaxTimeout, %s", s.Timeout, s.MaxTimeout)
	}
	if s.TypicalRun.Duration > s.Timeout.Duration {
		v.report(path+".TypicalRun", "%s given, want at most Timeout, %s: every request would be refused", s.TypicalRun, s.Timeout)
	}
	// If a key expired while the first copy of its request may still run, a repeat would run concurrently.
	if s.KeyMemory.Duration < s.MaxTimeout.Duration {
		v.report(path+".KeyMemory", "%s given, want at least MaxTimeout, %s: a repeat could run concurrently with the first copy",
			s.KeyMemory, s.MaxTimeout)
	}
}

func (v *validator) checkShiftCap(path string, s ShiftCap) {
	if !validFraction(s.Share, 0) || s.Share == 0 {
		v.report(path+".Share", "%v given, want a number above 0, up to 1", s.Share)
	}
	v.checkDuration(path+".Window", s.Window, minWindow, maxWindow)
}

func (v *validator) checkTargets(path string, s Service, names uniqueValues) {
	if len(s.Targets) == 0 {
		v.report(path+".Targets", "no target given, want at least one")
	}
	for i, t := range s.Targets {
		here := fmt.Sprintf("%s.Targets[%d]", path, i)
		v.checkName(here+".Name", string(t.Name))
		if other, ok := names.targets[t.Name]; ok {
			v.report(here+".Name", "%q is already %s, want unique names", t.Name, other)
		}
		names.targets[t.Name] = here
		if _, ok := v.zones[t.Zone]; !ok {
			v.report(here+".Zone", "%q given, want the name of a zone of this bundle", t.Zone)
		}
		v.checkAddress(here+".Address", t.Address, here, names)
		checkRange(v, here+".Slots", t.Slots, 1, maxSlots)
		checkRange(v, here+".MaxConnections", t.MaxConnections, max(t.Slots, 1), maxTargetConnections)
	}
}

func (v *validator) checkAddress(path string, a netip.AddrPort, target string, names uniqueValues) {
	ip := a.Addr()
	switch {
	case !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		v.report(path, "%s given, want the unicast address of one VM", a)
	case ip.Is4In6():
		v.report(path, "%s given, want the IPv4 notation %s", a, netip.AddrPortFrom(ip.Unmap(), a.Port()))
	case a.Port() == 0:
		v.report(path, "%s given, want a port from 1 to 65535", a)
	}
	if other, ok := names.addresses[a]; ok && ip.IsValid() {
		v.report(path, "%s is already the address of %s, want each once", a, other)
	}
	names.addresses[a] = target
}

func (v *validator) checkShares(path string, s Service) {
	serving := map[RegionName]bool{}
	for _, t := range s.Targets {
		serving[v.zones[t.Zone]] = true
	}
	sums := map[RegionName]float64{}
	seen := map[regionPair]bool{}
	for i, h := range s.Shares {
		here := fmt.Sprintf("%s.Shares[%d]", path, i)
		known := v.checkRegionName(here+".From", h.From)
		known = v.checkRegionName(here+".To", h.To) && known
		if seen[regionPair{h.From, h.To}] {
			v.report(here, "the share from %q to %q is given twice", h.From, h.To)
		}
		seen[regionPair{h.From, h.To}] = true
		if !validFraction(h.Share, 0) {
			v.report(here+".Share", "%v given, want 0 to 1", h.Share)
		}
		sums[h.From] += h.Share
		if known && h.Share > 0 {
			v.checkShareReachable(here, h, serving)
		}
	}
	for _, r := range v.bundle.Regions {
		if sum := sums[r.Name]; !(math.Abs(sum-1) <= shareTolerance) {
			v.report(path+".Shares", "the shares from %q add up to %v, want 1", r.Name, sum)
		}
	}
}

// checkShareReachable reports a share whose To region has no target of the service, or that lacks a link
// in either direction, as requests and responses both need one.
func (v *validator) checkShareReachable(path string, h Share, serving map[RegionName]bool) {
	if !serving[h.To] {
		v.report(path+".To", "%q has no target of this service", h.To)
	}
	if h.From == h.To {
		return
	}
	for _, l := range []regionPair{{h.From, h.To}, {h.To, h.From}} {
		if !v.links[l] {
			v.report(path, "no link from %q to %q is given, which this share needs", l.from, l.to)
		}
	}
}
