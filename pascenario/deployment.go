package pascenario

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/paplatform"
	"papayahead/pastand"
)

// The layout of a deployment's addresses: 127.N.x.y, with x telling what it is. What others dial is
// the Wire's address; the process behind it listens on the same port of the next x. Only callers
// dial entry VMs themselves.
const (
	entryNet, entryRealNet   = 1, 2
	targetNet, targetRealNet = 3, 4
	platformNet              = 5
	callerNet                = 6

	callersPort   = 8001
	peersPort     = 8002
	operatorsPort = 8003
	targetPort    = 9000
	platformPort  = 7000
	wirePort      = 7001
	// reservedPort is listened on, and never used, as long as a network is in use.
	reservedPort = 7002
)

// The network of the users: one way.
const (
	zoneDelay   = 250 * time.Microsecond
	regionDelay = 17500 * time.Microsecond
)

// platformZone is the zone of the platform for cuts; it stands in the region of the first bundle
// region, as the users' stores do.
const platformZone pabundle.ZoneName = "platform"

// Deployment is the plan of one deployment: who runs where.
type Deployment struct {
	// Directory holds the files of the deployment.
	Directory string
	// Net is the second byte of all addresses.
	Net    byte
	Bundle pabundle.Bundle
	// Entries are the entry VMs; the first zone has two.
	Entries []EntryVM
}

// EntryVM is one entry VM of the plan.
type EntryVM struct {
	Name   pabundle.EntryName
	Place  pastand.Place
	Number byte
}

// NewDeployment plans a deployment of a bundle, with its targets moved to addresses of its own.
func NewDeployment(directory string, n byte, b pabundle.Bundle) *Deployment {
	d := &Deployment{Directory: directory, Net: n, Bundle: b}
	places := d.places()
	number := byte(0)
	for i := range b.Services {
		for j := range b.Services[i].Targets {
			number++
			b.Services[i].Targets[j].Address = netip.AddrPortFrom(d.ip(targetNet, number), targetPort)
		}
	}
	zones := []pabundle.ZoneName{b.Regions[0].Zones[0]}
	for _, r := range b.Regions {
		zones = append(zones, r.Zones...)
	}
	for i, z := range zones {
		d.Entries = append(d.Entries, EntryVM{
			Name: pabundle.EntryName(fmt.Sprintf("entry-%d", i+1)), Place: places[z], Number: byte(i + 1),
		})
	}
	d.Bundle.ClientBlocks = nil
	for i, r := range b.Regions {
		d.Bundle.ClientBlocks = append(d.Bundle.ClientBlocks, pabundle.ClientBlock{
			Prefix: netip.PrefixFrom(d.CallerAddress(i), 32), Region: r.Name,
		})
	}
	return d
}

// CallerAddress is where the callers of a region come from.
func (d *Deployment) CallerAddress(region int) netip.Addr { return d.ip(callerNet, byte(region+1)) }

func (d *Deployment) ip(x, y byte) netip.Addr { return netip.AddrFrom4([4]byte{127, d.Net, x, y}) }

func (d *Deployment) places() map[pabundle.ZoneName]pastand.Place {
	all := map[pabundle.ZoneName]pastand.Place{}
	for _, r := range d.Bundle.Regions {
		for _, z := range r.Zones {
			all[z] = pastand.Place{Zone: z, Region: r.Name}
		}
	}
	return all
}

func (d *Deployment) file(name string) string { return filepath.Join(d.Directory, name) }

// Store is the base address of the platform as the entry VMs reach it, through the Wire.
func (d *Deployment) Store() string {
	return "http://" + netip.AddrPortFrom(d.ip(platformNet, 1), platformPort).String()
}

// Platform is the platform's own address, for operators and for faults.
func (d *Deployment) Platform() string {
	return netip.AddrPortFrom(d.ip(platformNet, 2), platformPort).String()
}

// Wire is the address of the Wire's control.
func (d *Deployment) Wire() string {
	return netip.AddrPortFrom(d.ip(platformNet, 2), wirePort).String()
}

// Callers is the address that callers reach an entry VM at, past the Wire.
func (d *Deployment) Callers(e EntryVM) netip.AddrPort {
	return netip.AddrPortFrom(d.ip(entryRealNet, e.Number), callersPort)
}

// Operators is the operators' address of an entry VM.
func (d *Deployment) Operators(e EntryVM) netip.AddrPort {
	return netip.AddrPortFrom(d.ip(entryRealNet, e.Number), operatorsPort)
}

// Write puts the deployment's files into its directory: the bundle, the bundle with the targets'
// real addresses, the VM list and the Wire's configuration.
func (d *Deployment) Write() error {
	for name, v := range map[string]any{
		"bundle.json": d.Bundle, "targets.json": d.realTargets(), "machines.json": d.machines(), "wire.json": d.wire(),
	} {
		data, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return trace.Wrap(err)
		}
		if err := os.WriteFile(d.file(name), data, 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// realTargets is the bundle as the targets' process runs it, behind the Wire.
func (d *Deployment) realTargets() pabundle.Bundle {
	b := d.Bundle
	b.Services = slices.Clone(b.Services)
	for i := range b.Services {
		b.Services[i].Targets = slices.Clone(b.Services[i].Targets)
		for j, t := range b.Services[i].Targets {
			b.Services[i].Targets[j].Address = d.behind(t.Address)
		}
	}
	return b
}

// behind is the real address behind one of the Wire's.
func (d *Deployment) behind(a netip.AddrPort) netip.AddrPort {
	b := a.Addr().As4()
	b[2]++
	return netip.AddrPortFrom(netip.AddrFrom4(b), a.Port())
}

func (d *Deployment) machines() []paplatform.VM {
	var all []paplatform.VM
	for _, e := range d.Entries {
		all = append(all, paplatform.VM{
			Name: string(e.Name), Kind: paplatform.Entry, Zone: string(e.Place.Zone), State: paplatform.Live,
			CallerAddress: d.Callers(e), PeerAddress: netip.AddrPortFrom(d.ip(entryNet, e.Number), peersPort),
		})
	}
	return all
}

func (d *Deployment) wire() pastand.WireConfig {
	places := d.places()
	platform := pastand.Place{Zone: platformZone, Region: d.Bundle.Regions[0].Name}
	c := pastand.WireConfig{
		Sources:   map[netip.Addr]pastand.Place{},
		ZoneDelay: pabundle.Duration{Duration: zoneDelay}, RegionDelay: pabundle.Duration{Duration: regionDelay},
	}
	route := func(listen netip.AddrPort, to netip.AddrPort, p pastand.Place) {
		c.Routes = append(c.Routes, pastand.WireRoute{Listen: listen, To: to, Place: p})
	}
	for _, e := range d.Entries {
		c.Sources[d.ip(entryRealNet, e.Number)] = e.Place
		a := netip.AddrPortFrom(d.ip(entryNet, e.Number), peersPort)
		route(a, d.behind(a), e.Place)
	}
	for _, s := range d.Bundle.Services {
		for _, t := range s.Targets {
			route(t.Address, d.behind(t.Address), places[t.Zone])
		}
	}
	route(netip.AddrPortFrom(d.ip(platformNet, 1), platformPort), netip.AddrPortFrom(d.ip(platformNet, 2), platformPort), platform)
	return c
}

// EntryArguments are the arguments of `papayahead` for an entry VM.
func (d *Deployment) EntryArguments(e EntryVM) []string {
	address := func(x byte, port uint16) string { return netip.AddrPortFrom(d.ip(x, e.Number), port).String() }
	return []string{
		"entry", "--name", string(e.Name), "--zone", string(e.Place.Zone), "--region", string(e.Place.Region),
		"--deployment", d.Bundle.Deployment,
		"--callers", address(entryRealNet, callersPort),
		"--peers", address(entryRealNet, peersPort), "--peers-address", address(entryNet, peersPort),
		"--operators", address(entryRealNet, operatorsPort),
		"--dial-from", d.ip(entryRealNet, e.Number).String(),
		"--store", d.Store(), "--list-lag", listLag.String(), "--time-to-live", timeToLive.String(),
	}
}

const (
	// listLag and timeToLive are shorter than in production, so that scripts end soon.
	listLag    = 2 * time.Second
	timeToLive = time.Second
)

// PlatformArguments are the arguments of `papayastand` for the platform.
func (d *Deployment) PlatformArguments() []string {
	return []string{"platform", "--address", d.Platform(), "--machines", d.file("machines.json"), "--bundle", d.file("bundle.json")}
}

// WireArguments are the arguments of `papayastand` for the Wire.
func (d *Deployment) WireArguments() []string {
	return []string{"wire", "--config", d.file("wire.json"), "--control", d.Wire()}
}

// TargetArguments are the arguments of `papayastand` for all targets of a zone.
func (d *Deployment) TargetArguments(z pabundle.ZoneName) []string {
	return []string{"target", "--bundle", d.file("targets.json"), "--zone", string(z)}
}

// Zones returns all zones in the bundle's order.
func (d *Deployment) Zones() []pabundle.ZoneName {
	var all []pabundle.ZoneName
	for _, r := range d.Bundle.Regions {
		all = append(all, r.Zones...)
	}
	return all
}

// Entry finds an entry VM by its name.
func (d *Deployment) Entry(name string) (EntryVM, error) {
	for _, e := range d.Entries {
		if string(e.Name) == name {
			return e, nil
		}
	}
	return EntryVM{}, trace.NotFound("no entry VM %q: want entry-1 to entry-%d", name, len(d.Entries))
}

// Target finds a target by its name.
func (d *Deployment) Target(name string) (pabundle.Target, error) {
	for _, s := range d.Bundle.Services {
		for _, t := range s.Targets {
			if string(t.Name) == name {
				return t, nil
			}
		}
	}
	return pabundle.Target{}, trace.NotFound("no target %q", name)
}
