package pabundle

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// MaxPieceSize is the maximum size of a piece in bytes, which is the largest value that the platform's
// store accepts.
const MaxPieceSize = 1 << 20

// A change of one client block transfers the manifest, one list and one piece of blocks. With these
// limits, 3.9 million blocks make some 10,000 pieces in a hundred lists, and each of the three is under
// 30 KB. Without the lists, the manifest and the pieces could not both be small: a change would transfer
// over 200 KB, which at 4,900 changes a day exceeds the 10 KB/s allowed for control traffic.
const (
	// maxBlocksPerPiece is the maximum number of client blocks in a piece.
	maxBlocksPerPiece = 512
	// maxPiecesPerList is the maximum number of pieces of client blocks that a list or the manifest names.
	maxPiecesPerList = 128
)

// Manifest names the pieces of a bundle; a bundle's Digest is the digest of its manifest.
type Manifest struct {
	Format     int
	Deployment string
	// Plan is the digest of the piece with everything but services and client blocks.
	Plan Digest
	// Services holds the digests of the pieces with one service each, sorted by service name.
	Services []Digest
	// Blocks holds the digests of the pieces of client blocks, sorted by prefix. With more than
	// maxPiecesPerList pieces, it holds the digests of lists of these digests instead.
	Blocks []Digest
}

// Digests returns all digests that the manifest names.
func (m Manifest) Digests() []Digest {
	all := []Digest{m.Plan}
	all = append(all, m.Services...)
	return append(all, m.Blocks...)
}

// SplitBundle is a bundle in pieces.
type SplitBundle struct {
	// Digest identifies the bundle; it is the digest of the manifest.
	Digest   Digest
	Manifest Manifest
	// Pieces holds the encoded pieces and manifest by digest.
	Pieces map[Digest][]byte
	// Order lists the digests with children before their parents; the manifest is last.
	Order []Digest
}

// plan is the piece with everything but services and client blocks.
type plan struct {
	Format     int
	Deployment string
	Comment    string `json:",omitempty"`
	Policy     Policy
	Regions    []Region
	Links      []Link
}

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Valid reports whether d has the syntax of a digest. A valid digest is safe to use in a key of the store.
func (d Digest) Valid() bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == sha256.Size && strings.ToLower(string(d)) == string(d)
}

// Digest returns the digest that identifies the bundle; it does not depend on the order of its lists. An
// error is that of Split.
func (b Bundle) Digest() (Digest, error) {
	s, err := b.Split()
	return s.Digest, err
}

// Split encodes the bundle as pieces. They depend only on the bundle's content and not on the order of
// its lists, and a small change leaves most of them unchanged. It returns a trace.LimitExceeded error if a
// piece is larger than MaxPieceSize.
func (b Bundle) Split() (SplitBundle, error) {
	b = b.Canonical()
	s := SplitBundle{Pieces: map[Digest][]byte{}}
	s.Manifest = Manifest{Format: b.Format, Deployment: b.Deployment, Services: []Digest{}, Blocks: []Digest{}}
	s.Manifest.Plan = s.add(plan{b.Format, b.Deployment, b.Comment, b.Policy, b.Regions, b.Links})
	for _, v := range b.Services {
		s.Manifest.Services = append(s.Manifest.Services, s.add(v))
	}
	var pieces []blockPiece
	for _, g := range partitionBlocks(b.ClientBlocks) {
		pieces = append(pieces, blockPiece{digest: s.add(g), first: g[0].Prefix, last: g[len(g)-1].Prefix, size: len(g)})
	}
	s.Manifest.Blocks = s.addLists(pieces)
	s.Digest = s.add(s.Manifest)
	for d, data := range s.Pieces {
		if len(data) > MaxPieceSize {
			return SplitBundle{}, trace.LimitExceeded("piece %s has %d bytes, at most %d allowed", d, len(data), MaxPieceSize)
		}
	}
	return s, nil
}

// add encodes and adds a piece and returns its digest.
func (s *SplitBundle) add(v any) Digest {
	data := encode(v)
	d := DigestOf(data)
	s.Pieces[d] = data
	s.Order = append(s.Order, d)
	return d
}

// addLists returns the digests for Manifest.Blocks and adds the lists if the pieces need them.
func (s *SplitBundle) addLists(pieces []blockPiece) []Digest {
	if len(pieces) <= maxPiecesPerList {
		return digestsOf(pieces)
	}
	v4, v6 := splitByFamily(pieces, pieceAddress)
	lists := splitByPrefix(nil, v4, 0, maxPiecesPerList, pieceAddress)
	lists = append(lists, splitByPrefix(nil, v6, 0, maxPiecesPerList, pieceAddress)...)
	digests := []Digest{}
	for _, l := range lists {
		digests = append(digests, s.add(digestsOf(l)))
	}
	return digests
}

func pieceAddress(p blockPiece) netip.Addr { return p.first.Addr() }

func digestsOf(pieces []blockPiece) []Digest {
	all := make([]Digest, len(pieces))
	for i, p := range pieces {
		all[i] = p.digest
	}
	return all
}

// encode returns the canonical JSON encoding of a piece. It returns nil if encoding fails, which only
// happens for fractions that are infinite or NaN; Validate refuses them.
func encode(v any) []byte {
	var buffer bytes.Buffer
	e := json.NewEncoder(&buffer)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte{'\n'})
}

// Canonical returns a copy of the bundle with sorted lists, so that bundles with equal content have equal
// encodings.
func (b Bundle) Canonical() Bundle {
	b.Regions = sortedCopy(b.Regions, func(x, y Region) int { return cmp.Compare(x.Name, y.Name) })
	for i := range b.Regions {
		b.Regions[i].Zones = sortedCopy(b.Regions[i].Zones, cmp.Compare)
	}
	b.Links = sortedCopy(b.Links, func(x, y Link) int { return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To)) })
	b.Services = sortedCopy(b.Services, func(x, y Service) int { return cmp.Compare(x.Name, y.Name) })
	for i := range b.Services {
		s := &b.Services[i]
		s.Targets = sortedCopy(s.Targets, func(x, y Target) int { return cmp.Compare(x.Name, y.Name) })
		s.Shares = sortedCopy(s.Shares, func(x, y Share) int { return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To)) })
	}
	b.ClientBlocks = sortedCopy(b.ClientBlocks, compareBlocks)
	return b
}

func compareBlocks(x, y ClientBlock) int { return x.Prefix.Compare(y.Prefix) }

// sortedCopy returns a sorted copy that is never nil, because JSON encodes a nil slice as null.
func sortedCopy[E any](list []E, compare func(x, y E) int) []E {
	if slices.IsSortedFunc(list, compare) && list != nil {
		return slices.Clone(list)
	}
	sorted := append([]E{}, list...)
	slices.SortStableFunc(sorted, compare)
	return sorted
}

// partitionBlocks splits sorted client blocks into those of single pieces. A range of the address space
// with more than maxBlocksPerPiece blocks is split in two halves, recursively. The boundaries depend
// only on the addresses, so that adding or removing a block changes only its own piece.
func partitionBlocks(blocks []ClientBlock) [][]ClientBlock {
	v4, v6 := splitByFamily(blocks, blockAddress)
	groups := splitByPrefix(nil, v4, 0, maxBlocksPerPiece, blockAddress)
	return append(groups, splitByPrefix(nil, v6, 0, maxBlocksPerPiece, blockAddress)...)
}

func blockAddress(b ClientBlock) netip.Addr { return b.Prefix.Addr() }

// splitByFamily splits a sorted list into the elements with IPv4 and with IPv6 addresses.
func splitByFamily[E any](all []E, address func(E) netip.Addr) (v4, v6 []E) {
	n, _ := slices.BinarySearchFunc(all, true, func(e E, _ bool) int {
		if address(e).Is4() {
			return -1
		}
		return 1
	})
	return all[:n], all[n:]
}

// splitByPrefix appends groups of at most limit elements of all, whose addresses have the first bits in
// common. A group that is too large is split by the next bit, recursively.
func splitByPrefix[E any](groups [][]E, all []E, bits, limit int, address func(E) netip.Addr) [][]E {
	if len(all) == 0 {
		return groups
	}
	if len(all) <= limit || bits == address(all[0]).BitLen() {
		return append(groups, all)
	}
	n, _ := slices.BinarySearchFunc(all, true, func(e E, _ bool) int {
		if addressBit(address(e), bits) {
			return 1
		}
		return -1
	})
	return splitByPrefix(splitByPrefix(groups, all[:n], bits+1, limit, address), all[n:], bits+1, limit, address)
}

// addressBit returns bit n of an address, counted from the most significant, which is bit 0.
func addressBit(a netip.Addr, n int) bool {
	b := a.As16()
	if a.Is4() {
		n += 96
	}
	return b[n/8]&(0x80>>(n%8)) != 0
}
