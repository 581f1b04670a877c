package palookup

import (
	"net/netip"
	"slices"

	"papayahead/pabundle"

	"github.com/gaissmai/bart"
	"github.com/gravitational/trace"
)

// MaxRegions bounds the regions of a Table, which stores a region index of one byte for each block.
const MaxRegions = 256

// Table maps client blocks to regions; the longest prefix that contains an address wins. It is immutable and safe for
// any number of readers. The zero Table is empty.
type Table struct {
	blocks  *bart.Table[uint8]
	regions []pabundle.RegionName
}

// Delta is a change of client blocks.
type Delta struct {
	// Set lists blocks that are new or whose region changed.
	Set []pabundle.ClientBlock
	// Remove lists blocks that no longer exist.
	Remove []netip.Prefix
}

// Builder builds a Table from blocks that are added in batches, so that they need not all be in memory at once.
type Builder struct{ table Table }

// Add adds blocks; it fails if there are more than MaxRegions regions or a prefix is invalid.
func (b *Builder) Add(blocks []pabundle.ClientBlock) error {
	if b.table.blocks == nil {
		b.table.blocks = &bart.Table[uint8]{}
	}
	for _, c := range blocks {
		i, err := b.table.region(c)
		if err != nil {
			return trace.Wrap(err)
		}
		b.table.blocks.Insert(c.Prefix, i)
	}
	return nil
}

// Table returns the table; the Builder must not be used afterwards.
func (b *Builder) Table() *Table { return &b.table }

// region returns the index of a block's region and adds the region if it is new.
func (t *Table) region(c pabundle.ClientBlock) (uint8, error) {
	if !c.Prefix.IsValid() {
		return 0, trace.BadParameter("client block of region %s: invalid prefix", c.Region)
	}
	if i := slices.Index(t.regions, c.Region); i >= 0 {
		return uint8(i), nil
	}
	if len(t.regions) == MaxRegions {
		return 0, trace.LimitExceeded("client block %s: more than %d regions", c.Prefix, MaxRegions)
	}
	t.regions = append(t.regions, c.Region)
	return uint8(len(t.regions) - 1), nil
}

// Apply returns a Table with a change applied. Only the paths to the changed blocks are copied; look-ups in t may go on
// meanwhile.
func (t *Table) Apply(d Delta) (*Table, error) {
	n := &Table{regions: slices.Clone(t.regions)}
	blocks := t.blocks
	if blocks == nil {
		blocks = &bart.Table[uint8]{}
	}
	for _, p := range d.Remove {
		blocks = blocks.DeletePersist(p)
	}
	for _, c := range d.Set {
		i, err := n.region(c)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		blocks = blocks.InsertPersist(c.Prefix, i)
	}
	n.blocks = blocks
	return n, nil
}
