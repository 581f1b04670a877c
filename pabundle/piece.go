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

// MaxPieceSize is the most bytes of one piece: what the platform's store takes as one value.
const MaxPieceSize = 1 << 20

// The sizes of pieces decide what a change of one client block ships: the manifest, a list and a
// piece of blocks. At 3.9 million blocks there are some 10,000 pieces of blocks in a hundred lists,
// and each of the three stays under 30 KB. With one level less, the manifest and the pieces could not
// both be small: a change would ship over 200 KB, which at 4,900 changes a day is more than the 10 KB
// a second that control may use.
const (
	// maxBlocksPerPiece bounds the client blocks of one piece.
	maxBlocksPerPiece = 512
	// maxPiecesPerList bounds the pieces that one list, or the manifest itself, names.
	maxPiecesPerList = 128
)

// Manifest names the pieces of a bundle; a bundle's Digest is the digest of its manifest.
type Manifest struct {
	Format     int
	Deployment string
	// Plan names the piece with everything but services and client blocks.
	Plan Digest
	// Services names one piece for each service, in the order of their names.
	Services []Digest
	// Blocks names the pieces of client blocks, in the order of their prefixes, or, where they are
	// many, the lists that name them.
	Blocks []Digest
}

// Digests returns the digests that the manifest names.
func (m Manifest) Digests() []Digest {
	all := []Digest{m.Plan}
	all = append(all, m.Services...)
	return append(all, m.Blocks...)
}

// SplitBundle is a bundle in pieces.
type SplitBundle struct {
	// Digest names the bundle and its manifest.
	Digest   Digest
	Manifest Manifest
	// Pieces holds all pieces and the manifest, by digest.
	Pieces map[Digest][]byte
	// Order lists the digests so that whatever names a piece comes after it; the manifest is last.
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

// Valid reports whether the digest has the form of one, so that it is fit to be part of a key.
func (d Digest) Valid() bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == sha256.Size && strings.ToLower(string(d)) == string(d)
}

// Digest returns the name of the bundle; the order of its lists does not matter.
func (b Bundle) Digest() (Digest, error) {
	s, err := b.Split()
	return s.Digest, err
}

// Split returns the bundle's pieces. They depend only on what the bundle says, and a small change
// leaves most of them as they were.
func (b Bundle) Split() (SplitBundle, error) {
	b = b.Canonical()
	s := SplitBundle{Pieces: map[Digest][]byte{}}
	s.Manifest = Manifest{Format: b.Format, Deployment: b.Deployment, Services: []Digest{}, Blocks: []Digest{}}
	s.Manifest.Plan = s.add(plan{b.Format, b.Deployment, b.Comment, b.Policy, b.Regions, b.Links})
	for _, v := range b.Services {
		s.Manifest.Services = append(s.Manifest.Services, s.add(v))
	}
	var parts []blockPiece
	for _, g := range partitionBlocks(b.ClientBlocks) {
		parts = append(parts, blockPiece{digest: s.add(g), first: g[0].Prefix, last: g[len(g)-1].Prefix, size: len(g)})
	}
	s.Manifest.Blocks = s.addLists(parts)
	s.Digest = s.add(s.Manifest)
	for d, data := range s.Pieces {
		if len(data) > MaxPieceSize {
			return SplitBundle{}, trace.LimitExceeded("piece %s has %d bytes, at most %d allowed", d, len(data), MaxPieceSize)
		}
	}
	return s, nil
}

// add encodes a piece and returns its name.
func (s *SplitBundle) add(v any) Digest {
	data := encode(v)
	d := DigestOf(data)
	s.Pieces[d] = data
	s.Order = append(s.Order, d)
	return d
}

// addLists returns what a manifest addLists for these pieces of client blocks, and adds the lists.
func (s *SplitBundle) addLists(parts []blockPiece) []Digest {
	if len(parts) <= maxPiecesPerList {
		return digestsOf(parts)
	}
	four, six := splitByFamily(parts, pieceAddress)
	names := []Digest{}
	for _, list := range append(splitByPrefix(nil, four, 0, maxPiecesPerList, pieceAddress), splitByPrefix(nil, six, 0, maxPiecesPerList, pieceAddress)...) {
		names = append(names, s.add(digestsOf(list)))
	}
	return names
}

func pieceAddress(p blockPiece) netip.Addr { return p.first.Addr() }

func digestsOf(parts []blockPiece) []Digest {
	all := make([]Digest, len(parts))
	for i, p := range parts {
		all[i] = p.digest
	}
	return all
}

// encode returns the one encoding of a piece. Its types hold nothing that JSON cannot write, but
// for shares that are not numbers, which Validate refuses.
func encode(v any) []byte {
	var buffer bytes.Buffer
	e := json.NewEncoder(&buffer)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte{'\n'})
}

// Canonical returns the bundle with its lists in the order of their names, so that two bundles
// that say the same are written the same.
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

// sortedCopy returns a sorted copy that is never nil.
func sortedCopy[E any](list []E, compare func(x, y E) int) []E {
	if slices.IsSortedFunc(list, compare) && list != nil {
		return slices.Clone(list)
	}
	sorted := append([]E{}, list...)
	slices.SortStableFunc(sorted, compare)
	return sorted
}

// partitionBlocks cuts sorted client blocks into the lists of single pieces. Where to cut depends on the
// addresses alone: a part of the address space with too many blocks is halved. A block that comes
// or goes thus changes its own piece and no other.
func partitionBlocks(blocks []ClientBlock) [][]ClientBlock {
	four, six := splitByFamily(blocks, blockAddress)
	return append(splitByPrefix(nil, four, 0, maxBlocksPerPiece, blockAddress), splitByPrefix(nil, six, 0, maxBlocksPerPiece, blockAddress)...)
}

func blockAddress(b ClientBlock) netip.Addr { return b.Prefix.Addr() }

// splitByFamily parts a sorted list into IPv4 and IPv6.
func splitByFamily[E any](all []E, address func(E) netip.Addr) (four, six []E) {
	n, _ := slices.BinarySearchFunc(all, true, func(e E, _ bool) int {
		if address(e).Is4() {
			return -1
		}
		return 1
	})
	return all[:n], all[n:]
}

// splitByPrefix appends the groups of at most limit elements whose addresses share the first bits.
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

// addressBit returns a bit of an address, counted from the most significant.
func addressBit(a netip.Addr, n int) bool {
	b := a.As16()
	if a.Is4() {
		n += 96
	}
	return b[n/8]&(0x80>>(n%8)) != 0
}
