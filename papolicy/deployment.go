package papolicy

import (
	"fmt"
	"net/netip"
	"time"

	"papayahead/pabundle"
)

// Entry is an entry VM of the simulated deployment.
type Entry struct {
	Name   pabundle.EntryName
	Zone   pabundle.ZoneName
	Region pabundle.RegionName
}

// Work is what a class of a service's requests costs.
type Work struct {
	// Run is the mean run time; single ones are spread log-normally.
	Run time.Duration
	// Share is the part of the service's requests that are of this class.
	Share float64
	// Request and Answer are sizes in bytes.
	Request, Answer int64
}

// Traffic is what the callers of one service ask for.
type Traffic struct {
	Service    pabundle.ServiceName
	Idempotent bool
	// Timeout is how long a caller waits for its answer over all attempts.
	Timeout time.Duration
	// Classes are the kinds of work; a request's class is its place here.
	Classes []Work
}

// Deployment is what is simulated.
type Deployment struct {
	Bundle  pabundle.Bundle
	Entries []Entry
	Traffic []Traffic
	// Callers, Zones and Regions are one-way delays: from callers to entry VMs, between zones of a
	// region, and between regions.
	Callers, Zones, Regions time.Duration
	// EntryRate is how many requests a second one entry VM can handle.
	EntryRate float64
}

// Booking returns a deployment of the size of a national booking service with narrow links.
func Booking() Deployment {
	d := sized([]string{"centro", "occidente", "norte"}, 280_000_000)
	d.Bundle.Deployment = "booking"
	d.Bundle.Policy = pabundle.Policy{First: pabundle.HeadroomFirst, Reserve: 0.1}
	d.add("availability", true, time.Second, Work{Run: 40 * time.Millisecond, Request: 1_000, Answer: 8_000})
	d.add("reservations", false, 2*time.Second, Work{Run: 60 * time.Millisecond, Request: 2_000, Answer: 4_000})
	d.add("deposits", false, 2*time.Second, Work{Run: 80 * time.Millisecond, Request: 2_000, Answer: 2_000})
	d.add("archive", true, 5*time.Second, Work{Run: 300 * time.Millisecond, Request: 1_000, Answer: 2_000_000})
	return d
}

// Vault returns a deployment of the size of a footage vault with wide links.
func Vault() Deployment {
	d := sized([]string{"tbilisi", "frankfurt", "dubai"}, 4_000_000_000)
	d.Bundle.Deployment = "vault"
	d.Bundle.Policy = pabundle.Policy{First: pabundle.LatencyFirst, Reserve: 0.1}
	d.add("library", true, time.Second, Work{Run: 40 * time.Millisecond, Request: 1_000, Answer: 20_000})
	d.add("trim-and-share", false, 3*time.Second, Work{Run: 120 * time.Millisecond, Request: 4_000, Answer: 2_000})
	d.add("billing", false, 2*time.Second, Work{Run: 60 * time.Millisecond, Request: 2_000, Answer: 2_000})
	d.add("restore", true, 5*time.Second, Work{Run: 300 * time.Millisecond, Request: 1_000, Answer: 4_000_000})
	return d
}

const (
	zonesPerRegion    = 2
	targetsPerService = 12
	slotsPerTarget    = 3
	servicesEach      = 4
)

// sized lays out three regions with two zones each and seven entry VMs; the first zone has two.
func sized(regions []string, capacity pabundle.BitRate) Deployment {
	d := Deployment{Callers: 8 * time.Millisecond, Zones: 500 * time.Microsecond, Regions: 35 * time.Millisecond, EntryRate: 3000}
	d.Bundle.Format = pabundle.FormatVersion
	for _, name := range regions {
		r := pabundle.Region{Name: pabundle.RegionName(name)}
		r.MaxInFlight = servicesEach * targetsPerService * slotsPerTarget / len(regions)
		for n := range zonesPerRegion {
			z := pabundle.ZoneName(fmt.Sprintf("%s-%c", name, 'a'+n))
			r.Zones = append(r.Zones, z)
			d.Entries = append(d.Entries, Entry{Name: pabundle.EntryName("entry-" + string(z)), Zone: z, Region: r.Name})
		}
		for _, other := range regions {
			if other != name {
				l := pabundle.Link{From: r.Name, To: pabundle.RegionName(other), Capacity: capacity}
				d.Bundle.Links = append(d.Bundle.Links, l)
			}
		}
		d.Bundle.Regions = append(d.Bundle.Regions, r)
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(len(d.Bundle.Regions)), 0, 0}), 16)
		d.Bundle.ClientBlocks = append(d.Bundle.ClientBlocks, pabundle.ClientBlock{Prefix: p, Region: r.Name})
	}
	first := d.Entries[0]
	first.Name += "-2"
	d.Entries = append(d.Entries, first)
	return d
}

// add puts a service into the bundle, its targets spread evenly over the zones.
func (d *Deployment) add(name pabundle.ServiceName, idempotent bool, timeout time.Duration, w Work) {
	w.Share = 1
	d.Traffic = append(d.Traffic, Traffic{Service: name, Idempotent: idempotent, Timeout: timeout, Classes: []Work{w}})
	s := pabundle.Service{
		Name:       name,
		Timeout:    pabundle.Duration{Duration: timeout},
		MaxTimeout: pabundle.Duration{Duration: timeout},
		KeyMemory:  pabundle.Duration{Duration: time.Minute},
		TypicalRun: pabundle.Duration{Duration: w.Run},
		Shift:      pabundle.ShiftCap{Share: 0.2, Window: pabundle.Duration{Duration: 5 * time.Second}},
	}
	for _, r := range d.Bundle.Regions {
		s.Shares = append(s.Shares, pabundle.Share{From: r.Name, To: r.Name, Share: 1})
	}
	for n := range targetsPerService {
		r := d.Bundle.Regions[n%len(d.Bundle.Regions)]
		s.Targets = append(s.Targets, pabundle.Target{
			Name:           pabundle.TargetName(fmt.Sprintf("%s-%d", name, n)),
			Zone:           r.Zones[n/len(d.Bundle.Regions)%zonesPerRegion],
			Address:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(len(d.Bundle.Services))}), uint16(10_000+n)),
			Slots:          slotsPerTarget,
			MaxConnections: 330,
		})
	}
	d.Bundle.Services = append(d.Bundle.Services, s)
}

// capacity is the number of slots of a service in a region.
func (d *Deployment) capacity(s pabundle.ServiceName, r pabundle.RegionName) int {
	n := 0
	for _, sv := range d.Bundle.Services {
		for _, t := range sv.Targets {
			if sv.Name == s && d.regionOf(t.Zone) == r {
				n += t.Slots
			}
		}
	}
	return n
}

func (d *Deployment) regionOf(z pabundle.ZoneName) pabundle.RegionName {
	for _, r := range d.Bundle.Regions {
		for _, x := range r.Zones {
			if x == z {
				return r.Name
			}
		}
	}
	return ""
}

// meanRun is the mean run time over the classes.
func (t *Traffic) meanRun() time.Duration {
	var sum float64
	for _, w := range t.Classes {
		sum += w.Share * float64(w.Run)
	}
	return time.Duration(sum)
}
