package pabundle

import (
	"net/netip"
	"slices"
)

// BlockIndex lists the pieces of client blocks of one bundle version, so that the next version can be
// verified and applied by reading only the pieces that differ. At 3.9 million blocks and 4,900 changes a
// day, assembling each version from all pieces would take more CPU time than everything else that a
// daemon does. The zero BlockIndex has no blocks. A BlockIndex is immutable.
type BlockIndex struct{ pieces []blockPiece }

// blockPiece describes one piece of client blocks: its first and last prefix, the number of blocks and
// the regions that they name.
type blockPiece struct {
	digest      Digest
	first, last netip.Prefix
	size        int
	regions     []RegionName
}

// BlockChange is the difference between the client blocks of two versions. It consists of whole pieces:
// Removed has all blocks of the pieces that only the old version has, Added those of the pieces that only
// the new version has, so an unchanged block of a changed piece is in both. Both are sorted by prefix.
type BlockChange struct{ Removed, Added []ClientBlock }

// Size returns the number of client blocks.
func (x BlockIndex) Size() int {
	n := 0
	for _, p := range x.pieces {
		n += p.size
	}
	return n
}

// Update returns the index of the bundle d, the bundle without its client blocks, and the change from x.
// It verifies as much as Assemble and returns the same types of errors, but reads only the pieces of
// client blocks that differ: get must have the manifest, the plan, the services, the lists and the new
// pieces of d, and the pieces of x's version that d no longer has.
func (x BlockIndex) Update(d Digest, get func(Digest) ([]byte, bool)) (BlockIndex, Bundle, BlockChange, error) {
	b, m, err := AssembleWithoutBlocks(d, get)
	if err != nil {
		return BlockIndex{}, Bundle{}, BlockChange{}, err
	}
	next, change, err := x.apply(m, get)
	if err != nil {
		return BlockIndex{}, Bundle{}, BlockChange{}, err
	}
	if err := next.verify(d, b, m); err != nil {
		return BlockIndex{}, Bundle{}, BlockChange{}, err
	}
	return next, b, change, nil
}

// apply reads the pieces of client blocks that differ and returns the index of the new version.
func (x BlockIndex) apply(m Manifest, get func(Digest) ([]byte, bool)) (BlockIndex, BlockChange, error) {
	old := map[Digest]blockPiece{}
	for _, p := range x.pieces {
		old[p.digest] = p
	}
	var next BlockIndex
	var change BlockChange
	all, err := blockPieces(m, get, func(d Digest) bool { _, ok := old[d]; return ok })
	if err != nil {
		return next, change, err
	}
	for _, d := range all {
		p, ok := old[d]
		if !ok {
			var blocks []ClientBlock
			if err := readPiece(d, get, &blocks); err != nil {
				return next, change, err
			}
			var err error
			if p, err = newBlockPiece(d, blocks); err != nil {
				return next, change, err
			}
			change.Added = append(change.Added, blocks...)
		}
		delete(old, d)
		next.pieces = append(next.pieces, p)
	}
	for _, p := range x.pieces {
		if _, removed := old[p.digest]; !removed {
			continue
		}
		var blocks []ClientBlock
		if err := readPiece(p.digest, get, &blocks); err != nil {
			return next, change, err
		}
		change.Removed = append(change.Removed, blocks...)
	}
	return next, change, nil
}

// newBlockPiece describes one piece of client blocks, after verifying that they are in canonical form and
// order.
func newBlockPiece(d Digest, blocks []ClientBlock) (blockPiece, error) {
	if len(blocks) == 0 {
		return blockPiece{}, malformed(d, "no client blocks")
	}
	p := blockPiece{digest: d, first: blocks[0].Prefix, last: blocks[len(blocks)-1].Prefix, size: len(blocks)}
	for i, b := range blocks {
		if !canonicalPrefix(b.Prefix) {
			return p, malformed(d, "block %s is not in canonical form", b.Prefix)
		}
		if i > 0 && compareBlocks(blocks[i-1], b) >= 0 {
			return p, malformed(d, "block %s does not come after %s", b.Prefix, blocks[i-1].Prefix)
		}
		if !slices.Contains(p.regions, b.Region) {
			p.regions = append(p.regions, b.Region)
		}
	}
	return p, nil
}

// verify checks that the indexed pieces are those that Split would produce and that the bundle is valid.
func (x BlockIndex) verify(d Digest, b Bundle, m Manifest) error {
	known := map[RegionName]bool{}
	for _, r := range b.Regions {
		known[r.Name] = true
	}
	for i, p := range x.pieces {
		if i > 0 && x.pieces[i-1].last.Compare(p.first) >= 0 {
			return malformed(d, "piece %s does not come after the previous piece", p.digest)
		}
		for _, r := range p.regions {
			if !known[r] {
				return malformed(d, "piece %s names region %q, which the bundle does not have", p.digest, r)
			}
		}
	}
	v4, v6 := splitByFamily(x.pieces, pieceAddress)
	lists := SplitBundle{Pieces: map[Digest][]byte{}}
	if !canonicalBoundaries(v4, 0) || !canonicalBoundaries(v6, 0) || !slices.Equal(lists.addLists(x.pieces), m.Blocks) {
		return malformed(d, "the client blocks are not split into the canonical pieces")
	}
	// The plan and the services are small, so they are verified as in Assemble, with one client block in
	// place of all, because Validate refuses a bundle without any.
	if len(x.pieces) > 0 {
		b.ClientBlocks = []ClientBlock{{x.pieces[0].first, x.pieces[0].regions[0]}}
	}
	if errs := b.Validate(); len(errs) > 0 {
		return &ValidationError{errs}
	}
	s, err := b.Split()
	if err != nil {
		return err
	}
	if b.Deployment != m.Deployment || s.Manifest.Plan != m.Plan || !slices.Equal(s.Manifest.Services, m.Services) {
		return malformed(d, "the pieces are not the canonical ones of their bundle")
	}
	return nil
}

// canonicalBoundaries reports whether partitionBlocks would split the blocks of these pieces in the same
// places; bits is the number of leading address bits that they have in common.
func canonicalBoundaries(pieces []blockPiece, bits int) bool {
	total := 0
	for _, p := range pieces {
		total += p.size
	}
	switch {
	case total == 0:
		return true
	case total <= maxBlocksPerPiece || bits == pieces[0].first.Addr().BitLen():
		return len(pieces) == 1
	}
	n := 0
	for n < len(pieces) && !addressBit(pieces[n].last.Addr(), bits) {
		n++
	}
	if n < len(pieces) && !addressBit(pieces[n].first.Addr(), bits) {
		return false
	}
	return canonicalBoundaries(pieces[:n], bits+1) && canonicalBoundaries(pieces[n:], bits+1)
}
