package palookup

import (
	"net/netip"

	"papayahead/pabundle"
)

// Region returns the region of the longest block that contains an address, false if none does. It does not allocate.
func (t *Table) Region(a netip.Addr) (pabundle.RegionName, bool) {
	if t.blocks == nil {
		return "", false
	}
	i, ok := t.blocks.Lookup(a.Unmap())
	if !ok {
		return "", false
	}
	return t.regions[i], true
}

// Size returns the number of blocks.
func (t *Table) Size() int {
	if t.blocks == nil {
		return 0
	}
	return t.blocks.Size()
}
