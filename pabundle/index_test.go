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

// mutateBlocks returns the sorted client blocks after n random changes: blocks are added, moved or removed.
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

// A series of updates must give the same table of client blocks as the whole bundle. Otherwise the region
// of a caller would depend on which versions a daemon has seen since its start.
func TestUpdatesMatchWholeBundle(t *testing.T) {
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
		next, withoutBlocks, change, err := x.Update(s.Digest, getFrom(all))
		g.Expect(err).NotTo(HaveOccurred())
		for _, c := range change.Removed {
			if table[c.Prefix] != c.Region {
				t.Fatalf("%s of %q was removed, but the table had it in %q", c.Prefix, c.Region, table[c.Prefix])
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
		withoutBlocks.ClientBlocks = b.ClientBlocks
		g.Expect(withoutBlocks.Digest()).To(Equal(s.Digest))
		x = next
	}
}

// Pieces with the right digests can still be invalid together, if the program that wrote them splits or
// sorts blocks differently. Update must refuse all that Assemble refuses.
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
	canonical := partitionBlocks(b.Canonical().ClientBlocks)
	swapped := slices.Clone(canonical)
	swapped[0], swapped[1] = swapped[1], swapped[0]
	mergedPieces := append([][]ClientBlock{append(slices.Clone(canonical[0]), canonical[1]...)}, canonical[2:]...)
	splitPiece := append([][]ClientBlock{canonical[0][:9], canonical[0][9:]}, canonical[1:]...)
	movedBoundary := append([][]ClientBlock{append(slices.Clone(canonical[0]), canonical[1][0]), canonical[1][1:]}, canonical[2:]...)
	unknownRegion := slices.Clone(canonical)
	unknownRegion[2] = slices.Clone(canonical[2])
	unknownRegion[2][5].Region = "nowhere"
	nonCanonical := slices.Clone(canonical)
	nonCanonical[2] = slices.Clone(canonical[2])
	nonCanonical[2][5].Prefix = netip.PrefixFrom(nonCanonical[2][5].Prefix.Addr().Next(), 24)
	for name, wrong := range map[string][][]ClientBlock{
		"swapped": swapped, "mergedPieces": mergedPieces, "splitPiece": splitPiece, "movedBoundary": movedBoundary,
		"unknownRegion": unknownRegion, "nonCanonical": nonCanonical,
		"duplicatePiece": append(slices.Clone(canonical), canonical[len(canonical)-1]),
		"emptyPiece":     append(slices.Clone(canonical), []ClientBlock{}),
		"withoutLists":   canonical,
	} {
		t.Run(name, func(t *testing.T) {
			var pieces []blockPiece
			for _, c := range wrong {
				p, _ := newBlockPiece("", c)
				p.digest = s.add(c)
				pieces = append(pieces, p)
			}
			m := s.Manifest
			m.Blocks = s.addLists(pieces)
			if name == "withoutLists" {
				m.Blocks = digestsOf(pieces)
			}
			d := s.add(m)
			if _, err := Assemble(d, getFrom(s.Pieces)); err == nil {
				t.Fatal("Assemble accepted the pieces")
			}
			if _, _, _, err := (BlockIndex{}).Update(d, getFrom(s.Pieces)); err == nil {
				t.Fatal("Update accepted the pieces")
			}
			if _, _, _, err := whole.Update(d, getFrom(s.Pieces)); err == nil {
				t.Fatal("Update from a valid version accepted the pieces")
			}
		})
	}
}

// Update must refuse pieces in the wrong order, even if each piece is canonical on its own.
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
		t.Fatal("Update accepted the pieces")
	}
}

// BenchmarkUpdate measures the update for a change of one client block.
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
