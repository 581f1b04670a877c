package pacapacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"papayahead/pabundle"
)

func seconds(n int) pabundle.Duration {
	return pabundle.Duration{Duration: time.Duration(n) * time.Second}
}

// blocksBundle returns a valid bundle of distinct client blocks.
func blocksBundle(n int, r *rand.Rand) pabundle.Bundle {
	b := pabundle.Bundle{Format: pabundle.FormatVersion, Deployment: deployment, Policy: pabundle.Policy{First: pabundle.LatencyFirst, Reserve: 0.1}}
	for i := range 26 {
		name := fmt.Sprintf("region-%02d", i)
		b.Regions = append(b.Regions, pabundle.Region{Name: pabundle.RegionName(name), Zones: []pabundle.ZoneName{pabundle.ZoneName(name + "-a")}, MaxInFlight: 100})
	}
	b.Services = []pabundle.Service{{
		Name: "library", Timeout: seconds(5), MaxTimeout: seconds(30), TypicalRun: seconds(1), KeyMemory: seconds(600),
		Shift: pabundle.ShiftCap{Share: 0.1, Window: seconds(60)},
	}}
	for _, r := range b.Regions {
		b.Services[0].Shares = append(b.Services[0].Shares, pabundle.Share{From: r.Name, To: r.Name, Share: 1})
		b.Services[0].Targets = append(b.Services[0].Targets, pabundle.Target{
			Name: pabundle.TargetName("library-" + r.Name), Zone: r.Zones[0], Slots: 3, MaxConnections: 300,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(b.Services[0].Targets))}), 80),
		})
	}
	seen := map[netip.Prefix]bool{}
	for len(seen) < n {
		if c := randomBlock(r); !seen[c.Prefix] {
			seen[c.Prefix] = true
			b.ClientBlocks = append(b.ClientBlocks, c)
		}
	}
	return b
}

// assembled reads a bundle from its pieces, as a daemon does with each change.
func assembled(t *testing.T, s pabundle.SplitBundle) pabundle.Bundle {
	t.Helper()
	b, err := pabundle.Assemble(s.Digest, func(d pabundle.Digest) ([]byte, bool) {
		p, ok := s.Pieces[d]
		return p, ok
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// measureBundle compares what a change of one client block ships: the whole bundle, its pieces that changed, a delta.
func measureBundle(t *testing.T) {
	var xs [][]float64
	var wholes, manifests, times, heaps []float64
	for _, n := range []int{25_000, 50_000, 100_000, 200_000, 400_000} {
		r := rand.New(rand.NewPCG(uint64(n), 2))
		before := heapMB()
		b := blocksBundle(n, r)
		start := time.Now()
		old, err := b.Split()
		if err != nil {
			t.Fatal(err)
		}
		split := time.Since(start)
		b = assembled(t, old)
		start = time.Now()
		b = assembled(t, old)
		assemble := time.Since(start)
		held := heapMB() - before
		total := 0
		for _, p := range old.Pieces {
			total += len(p)
		}
		manifest := len(old.Pieces[old.Digest])
		const changes = 20
		pieces, delta := 0, 0
		for range changes {
			i := r.IntN(n)
			b.ClientBlocks[i] = randomBlock(r)
			now, err := b.Split()
			if err != nil {
				t.Fatal(err)
			}
			for d, p := range now.Pieces {
				if _, ok := old.Pieces[d]; !ok && d != now.Digest {
					pieces += len(p)
				}
			}
			d, _ := json.Marshal(b.ClientBlocks[i])
			delta += 2 * len(d)
			old = now
		}
		t.Logf("bundle blocks=%d pieces=%d: whole=%d B, a change by pieces=%d B + manifest %d B, as a delta=%d B; split in %.2fs, assembled in %.2fs, bundle and pieces in memory %.1f MB", n, len(old.Pieces), total, pieces/changes, manifest, delta/changes, split.Seconds(), assemble.Seconds(), held)
		xs, wholes, manifests = append(xs, []float64{1, float64(n)}), append(wholes, float64(total)), append(manifests, float64(manifest))
		times, heaps = append(times, assemble.Seconds()), append(heaps, held)
	}
	for name, y := range map[string][]float64{"assemble s": times, "memory MB": heaps} {
		c, worst := fit(xs, y)
		t.Logf("bundle fit: %s = %.3g + %.4g per 100,000 blocks, worst error %.0f %%; at 3.9 M: %.4g", name, c[0], c[1]*1e5, worst*100, c[0]+c[1]*3.9e6)
	}
	w, worst := fit(xs, wholes)
	m, worstManifest := fit(xs, manifests)
	t.Logf("bundle fit: whole = %.3g + %.4g B a block, worst error %.0f %%; at 3.9 M: %.4g B; manifest = %.3g + %.4g B a block, worst error %.0f %%; at 3.9 M: %.4g B", w[0], w[1], worst*100, w[0]+w[1]*3.9e6, m[0], m[1], worstManifest*100, m[0]+m[1]*3.9e6)
}
