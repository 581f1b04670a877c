package pabundle

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the example bundles")

// exampleDeployment holds the values that differ between the two example deployments.
type exampleDeployment struct {
	file     string
	comment  string
	regions  []RegionName
	first    Preference
	reserve  float64
	capacity BitRate
	port     uint16
	limit    int
	services []Service
}

func makeService(name ServiceName, timeout, maxTimeout, typical time.Duration) Service {
	d := func(t time.Duration) Duration { return Duration{t} }
	return Service{
		Name: name, Timeout: d(timeout), MaxTimeout: d(maxTimeout), TypicalRun: d(typical), KeyMemory: d(2 * maxTimeout),
		Shift: ShiftCap{Share: 0.1, Window: d(30 * time.Second)},
	}
}

func tunnelBooking() exampleDeployment {
	return exampleDeployment{
		file: "../examples/instituto.json", comment: "Wind tunnel bookings: links are narrow, so headroom goes first.",
		regions: []RegionName{"centro", "occidente", "norte"}, first: HeadroomFirst, reserve: 0.2,
		capacity: 280_000_000, port: 21001, limit: 330,
		services: []Service{
			makeService("availability", 2*time.Second, 10*time.Second, 20*time.Millisecond),
			makeService("deposits", 5*time.Second, 30*time.Second, 50*time.Millisecond),
			makeService("reservations", 5*time.Second, 30*time.Second, 50*time.Millisecond),
			makeService("archive", 30*time.Second, 10*time.Minute, 500*time.Millisecond),
		},
	}
}

func footageVault() exampleDeployment {
	return exampleDeployment{
		file:    "../examples/kartuli.json",
		comment: "Action camera footage: slow browsing looks like lost footage, so latency goes first.",
		regions: []RegionName{"tbilisi", "frankfurt", "dubai"}, first: LatencyFirst, reserve: 0.05,
		capacity: 4_000_000_000, port: 22001, limit: 360,
		services: []Service{
			makeService("library", 2*time.Second, 10*time.Second, 20*time.Millisecond),
			makeService("trim-and-share", 30*time.Second, 5*time.Minute, 500*time.Millisecond),
			makeService("billing", 5*time.Second, 30*time.Second, 50*time.Millisecond),
			makeService("restore", time.Minute, 10*time.Minute, time.Second),
		},
	}
}

// makeBundle returns the bundle of the deployment at its present size.
func (u exampleDeployment) makeBundle() Bundle {
	b := Bundle{
		Format: FormatVersion, Deployment: strings.TrimSuffix(filepath.Base(u.file), ".json"),
		Comment: u.comment, Policy: Policy{u.first, u.reserve},
	}
	var zones []ZoneName
	for i, r := range u.regions {
		own := []ZoneName{ZoneName(r + "-1"), ZoneName(r + "-2")}
		zones = append(zones, own...)
		b.Regions = append(b.Regions, Region{Name: r, Zones: own, MaxInFlight: 48})
		for _, to := range u.regions {
			if to != r {
				b.Links = append(b.Links, Link{r, to, u.capacity})
			}
		}
		for _, format := range []string{"10.%d.0.0/16", "127.0.%d.0/24", "fd00:%d::/32"} {
			b.ClientBlocks = append(b.ClientBlocks, ClientBlock{netip.MustParsePrefix(fmt.Sprintf(format, i+1)), r})
		}
	}
	port := u.port
	for _, s := range u.services {
		for _, r := range u.regions {
			s.Shares = append(s.Shares, Share{r, r, 1})
		}
		for i := range 12 {
			s.Targets = append(s.Targets, Target{
				Name: TargetName(fmt.Sprintf("%s-%02d", s.Name, i+1)), Zone: zones[i%len(zones)],
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Slots: 3, MaxConnections: u.limit,
			})
			port++
		}
		b.Services = append(b.Services, s)
	}
	return b
}

func TestExamplesAreCurrentAndValid(t *testing.T) {
	for _, u := range []exampleDeployment{tunnelBooking(), footageVault()} {
		want, err := json.MarshalIndent(u.makeBundle(), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		want = append(want, '\n')
		if *update {
			if err := os.WriteFile(u.file, want, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		got, err := os.ReadFile(u.file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s is not current: run go test ./pabundle -run Examples -update", u.file)
		}
		if _, errs := Check(got); len(errs) > 0 {
			t.Errorf("%s: %v", u.file, errs)
		}
	}
}
