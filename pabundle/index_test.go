package pabundle

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// mutateBlocks changes some client blocks.
func mutateBlocks(r *rand.Rand, all []ClientBlock, n int) []ClientBlock {
	byPrefix := map[netip.Prefix]ClientBlock{}
	for _, b := range all {
		byPrefix[b.Prefix] = b
	}
	for range n {
		var a [16]byte
		for i := range a {
			a[i] = byte(r.Uint32())
		}
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, a[1] % 8, a[2], a[3]}), 8+r.IntN(25)).Masked()
		if r.IntN(4) == 0 {
			p = netip.PrefixFrom(netip.AddrFrom16(a), 20+r.IntN(60)).Masked()
		}
		byPrefix[p] = ClientBlock{p, []RegionName{"centro", "norte"}[r.IntN(2)]}
		if r.IntN(3) == 0 {
			delete(byPrefix, all[r.IntN(len(all))].Prefix)
		}
	}
	return slices.SortedFunc(maps.Values(byPrefix), compareBlocks)
}

// A daemon applies a change by the pieces that differ. If that ever gave another table than the
// whole bundle does, callers' look-ups would depend on how long the daemon has been running.
func TestUpdatesByPiecesGiveTheWholeBundle(t *testing.T) {
	g := NewWithT(t)
	b, _ := Check(exampleFile(t))
	r := rand.New(rand.NewPCG(1, 1))
	var x BlockIndex
	table := map[netip.Prefix]RegionName{}
	all := map[Digest][]byte{}
	b.ClientBlocks = append(b.ClientBlocks, makeBlocks(60_000)...)
	for range 6 {
		b.ClientBlocks = mutateBlocks(r, b.ClientBlocks, 1+r.IntN(60))
		s, err := b.Split()
		g.Expect(err).NotTo(HaveOccurred())
		maps.Copy(all, s.Pieces)
		next, outline, change, err := x.Update(s.Digest, getFrom(all))
		g.Expect(err).NotTo(HaveOccurred())
		for _, c := range change.Removed {
			if table[c.Prefix] != c.Region {
				t.Fatalf("%s of %q is gone, but was in %q", c.Prefix, c.Region, table[c.Prefix])
			}
			delete(table, c.Prefix)
		}
		for _, c := range change.Added {
			table[c.Prefix] = c.Region
		}
		g.Expect(len(table)).To(Equal(len(b.ClientBlocks)))
		for _, c := range b.ClientBlocks {
			if table[c.Prefix] != c.Region {
				t.Fatalf("%s is in %q, want %q", c.Prefix, table[c.Prefix], c.Region)
			}
		}
		g.Expect(next.Size()).To(Equal(len(b.ClientBlocks)))
		outline.ClientBlocks = b.ClientBlocks
		g.Expect(outline.Digest()).To(Equal(s.Digest))
		x = next
	}
}

// Pieces whose digests are right can still be wrong together: written by a program that cuts or
// sorts otherwise. Whatever Assemble refuses, an update by pieces must refuse.
func TestUpdateRefusesWhatAssembleRefuses(t *testing.T) {
	b, _ := Check(exampleFile(t))
	b.ClientBlocks = makeBlocks(70_000)
	s, err := b.Split()
	if err != nil {
		t.Fatal(err)
	}
	whole, _, _, err := (BlockIndex{}).Update(s.Digest, getFrom(s.Pieces))
	if err != nil {
		t.Fatal(err)
	}
	cut := partitionBlocks(b.Canonical().ClientBlocks)
	swapped := slices.Clone(cut)
	swapped[0], swapped[1] = swapped[1], swapped[0]
	joined := append([][]ClientBlock{append(slices.Clone(cut[0]), cut[1]...)}, cut[2:]...)
	parted := append([][]ClientBlock{cut[0][:9], cut[0][9:]}, cut[1:]...)
	shifted := append([][]ClientBlock{append(slices.Clone(cut[0]), cut[1][0]), cut[1][1:]}, cut[2:]...)
	strange := slices.Clone(cut)
	strange[2] = slices.Clone(cut[2])
	strange[2][5].Region = "nowhere"
	bent := slices.Clone(cut)
	bent[2] = slices.Clone(cut[2])
	bent[2][5].Prefix = netip.PrefixFrom(bent[2][5].Prefix.Addr().Next(), 24)
	for name, wrong := range map[string][][]ClientBlock{
		"swapped": swapped, "joined": joined, "parted": parted, "shifted": shifted, "strange": strange, "bent": bent,
		"twice": append(slices.Clone(cut), cut[len(cut)-1]), "empty": append(slices.Clone(cut), []ClientBlock{}),
		"flat": cut,
	} {
		t.Run(name, func(t *testing.T) {
			var parts []blockPiece
			for _, c := range wrong {
				p, _ := newBlockPiece("", c)
				p.digest = s.add(c)
				parts = append(parts, p)
			}
			m := s.Manifest
			m.Blocks = s.addLists(parts)
			if name == "flat" {
				m.Blocks = digestsOf(parts)
			}
			d := s.add(m)
			if _, err := Assemble(d, getFrom(s.Pieces)); err == nil {
				t.Fatal("Assemble took it")
			}
			if _, _, _, err := (BlockIndex{}).Update(d, getFrom(s.Pieces)); err == nil {
				t.Fatal("Update took it")
			}
			if _, _, _, err := whole.Update(d, getFrom(s.Pieces)); err == nil {
				t.Fatal("Update from the right version took it")
			}
		})
	}
}

// Pieces in the wrong order, whose cuts are right one by one.
func TestUpdateRefusesPiecesOutOfOrder(t *testing.T) {
	b, _ := Check(exampleFile(t))
	b.ClientBlocks = nil
	for i := range 800 {
		a := netip.AddrFrom4([4]byte{64 + byte(i/400)*64, byte(i / 200), byte(i), 0})
		b.ClientBlocks = append(b.ClientBlocks, ClientBlock{netip.PrefixFrom(a, 24), "centro"})
	}
	slices.SortFunc(b.ClientBlocks, compareBlocks)
	b.ClientBlocks = slices.Compact(b.ClientBlocks)
	s, err := b.Split()
	if err != nil || len(s.Manifest.Blocks) != 2 {
		t.Fatal(s.Manifest.Blocks, err)
	}
	m := s.Manifest
	m.Blocks = []Digest{m.Blocks[1], m.Blocks[0]}
	if _, _, _, err := (BlockIndex{}).Update(s.add(m), getFrom(s.Pieces)); err == nil {
		t.Fatal("Update took it")
	}
}

// BenchmarkUpdate applies a change of one client block.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range append(slices.Clone(blockCounts), 3_900_000) {
		b.Run(fmt.Sprintf("Blocks=%d", n), func(b *testing.B) {
			e := exampleWithBlocks(b, n)
			old, err := e.Split()
			if err != nil {
				b.Fatal(err)
			}
			e.ClientBlocks[n/2].Region = "norte"
			s, err := e.Split()
			if err != nil {
				b.Fatal(err)
			}
			shipped := 0
			for d, data := range s.Pieces {
				if _, ok := old.Pieces[d]; !ok {
					shipped += len(data)
				}
			}
			maps.Copy(old.Pieces, s.Pieces)
			x, _, _, err := (BlockIndex{}).Update(old.Digest, getFrom(old.Pieces))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, _, _, err := x.Update(s.Digest, getFrom(old.Pieces)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(shipped), "shipped-bytes")
		})
	}
}
