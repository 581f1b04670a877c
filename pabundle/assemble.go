package pabundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/gravitational/trace"
)

// PieceProblem is the closed set of reasons to refuse a piece.
type PieceProblem string

// The reasons to refuse a piece.
const (
	// WrongDigest is a piece whose bytes are not what its name says: corrupt or truncated.
	WrongDigest PieceProblem = "WrongDigest"
	// Oversize is a piece over MaxPieceSize.
	Oversize PieceProblem = "Oversize"
	// Malformed is a piece that is what its name says but not what the manifest needs.
	Malformed PieceProblem = "Malformed"
)

// PieceError is a piece that was refused.
type PieceError struct {
	Digest  Digest
	Problem PieceProblem
	Detail  string
}

// Error says which piece was refused and why.
func (e *PieceError) Error() string {
	return fmt.Sprintf("piece %s: %s: %s", e.Digest, e.Problem, e.Detail)
}

// VerifyPiece reports a piece whose bytes are not what its name says. Whoever fetches a piece from
// the store or a neighbour calls it before anything else reads the bytes.
func VerifyPiece(d Digest, data []byte) error {
	if len(data) > MaxPieceSize {
		return trace.Wrap(&PieceError{d, Oversize, fmt.Sprintf("%d bytes, at most %d allowed", len(data), MaxPieceSize)})
	}
	if got := DigestOf(data); got != d {
		return trace.Wrap(&PieceError{d, WrongDigest, fmt.Sprintf("the bytes have digest %s", got)})
	}
	return nil
}

// DecodeManifest reads a manifest that VerifyPiece accepted.
func DecodeManifest(d Digest, data []byte) (Manifest, error) {
	var m Manifest
	if err := decodePiece(d, data, &m); err != nil {
		return Manifest{}, err
	}
	if m.Format != FormatVersion {
		return Manifest{}, malformed(d, "format %d, want %d", m.Format, FormatVersion)
	}
	if i := slices.IndexFunc(m.Digests(), func(d Digest) bool { return !d.Valid() }); i >= 0 {
		return Manifest{}, malformed(d, "%q is not a digest", m.Digests()[i])
	}
	return m, nil
}

// DecodeBlocks reads a piece of client blocks that VerifyPiece accepted.
func DecodeBlocks(d Digest, data []byte) ([]ClientBlock, error) {
	var blocks []ClientBlock
	if err := decodePiece(d, data, &blocks); err != nil {
		return nil, err
	}
	return blocks, nil
}

// Children returns the digests that a piece names: those of a manifest (the root) or of a list of
// pieces of client blocks; all other pieces name none.
func Children(root bool, data []byte) ([]Digest, error) {
	d := DigestOf(data)
	if root {
		m, err := DecodeManifest(d, data)
		return m.Digests(), err
	}
	if !isDigestList(data) {
		return nil, nil
	}
	var list []Digest
	if err := decodePiece(d, data, &list); err != nil {
		return nil, err
	}
	if i := slices.IndexFunc(list, func(d Digest) bool { return !d.Valid() }); i >= 0 {
		return nil, malformed(d, "%q is not a digest", list[i])
	}
	return list, nil
}

// isDigestList tells a list of digests from pieces of client blocks, services and plans.
func isDigestList(data []byte) bool { return bytes.HasPrefix(data, []byte(`["`)) }

// MissingPieces returns the digests that have yet to be fetched before Assemble can succeed: first the
// manifest, then what it names, then what the lists among that name.
func MissingPieces(d Digest, get func(Digest) ([]byte, bool)) ([]Digest, error) {
	var missing []Digest
	open := []Digest{d}
	for depth := 0; len(open) > 0; depth++ {
		var deeper []Digest
		for _, o := range open {
			data, ok := get(o)
			if !ok {
				missing = append(missing, o)
				continue
			}
			// Lists name pieces of blocks and never other lists.
			if depth > 1 {
				continue
			}
			children, err := Children(depth == 0, data)
			if err != nil {
				return nil, err
			}
			deeper = append(deeper, children...)
		}
		open = deeper
	}
	return missing, nil
}

// blockPieces returns the digests of all pieces of client blocks. A digest for which known is true is
// such a piece; all others are read to see whether they are lists.
func blockPieces(m Manifest, get func(Digest) ([]byte, bool), known func(Digest) bool) ([]Digest, error) {
	var all []Digest
	for _, d := range m.Blocks {
		if known(d) {
			all = append(all, d)
			continue
		}
		data, err := getVerified(d, get)
		if err != nil {
			return nil, err
		}
		if !isDigestList(data) {
			all = append(all, d)
			continue
		}
		list, err := Children(false, data)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// Assemble builds the bundle from its pieces and verifies all of it: each piece's digest, that the
// pieces are the canonical ones, and that the bundle is valid.
func Assemble(d Digest, get func(Digest) ([]byte, bool)) (Bundle, error) {
	manifestData, err := getVerified(d, get)
	if err != nil {
		return Bundle{}, err
	}
	m, err := DecodeManifest(d, manifestData)
	if err != nil {
		return Bundle{}, err
	}
	b, err := decodeBundle(m, get)
	if err != nil {
		return Bundle{}, err
	}
	s, err := b.Split()
	if err != nil {
		return Bundle{}, err
	}
	if s.Digest != d {
		return Bundle{}, malformed(d, "the pieces are not the canonical ones of their bundle, %s", s.Digest)
	}
	if faults := b.Validate(); len(faults) > 0 {
		return Bundle{}, trace.Wrap(&ValidationError{faults})
	}
	return b, nil
}

// AssembleWithoutBlocks builds the bundle without its client blocks. It verifies the digest of each piece that it
// reads, and nothing more: it is for commands on bundles that were verified when they were proposed.
func AssembleWithoutBlocks(d Digest, get func(Digest) ([]byte, bool)) (Bundle, Manifest, error) {
	data, err := getVerified(d, get)
	if err != nil {
		return Bundle{}, Manifest{}, err
	}
	m, err := DecodeManifest(d, data)
	if err != nil {
		return Bundle{}, Manifest{}, err
	}
	b, err := decodeWithoutBlocks(m, get)
	return b, m, err
}

// decodeBundle decodes all pieces of a manifest.
func decodeBundle(m Manifest, get func(Digest) ([]byte, bool)) (Bundle, error) {
	b, err := decodeWithoutBlocks(m, get)
	if err != nil {
		return Bundle{}, err
	}
	all, err := blockPieces(m, get, func(Digest) bool { return false })
	if err != nil {
		return Bundle{}, err
	}
	b.ClientBlocks = make([]ClientBlock, 0, len(all)*maxBlocksPerPiece/2)
	for _, d := range all {
		var blocks []ClientBlock
		if err := readPiece(d, get, &blocks); err != nil {
			return Bundle{}, err
		}
		b.ClientBlocks = append(b.ClientBlocks, blocks...)
	}
	return b, nil
}

// decodeWithoutBlocks decodes the plan and the services.
func decodeWithoutBlocks(m Manifest, get func(Digest) ([]byte, bool)) (Bundle, error) {
	var p plan
	if err := readPiece(m.Plan, get, &p); err != nil {
		return Bundle{}, err
	}
	b := Bundle{Format: p.Format, Deployment: p.Deployment, Comment: p.Comment, Policy: p.Policy, Regions: p.Regions, Links: p.Links}
	for _, d := range m.Services {
		var s Service
		if err := readPiece(d, get, &s); err != nil {
			return Bundle{}, err
		}
		b.Services = append(b.Services, s)
	}
	return b, nil
}

// readPiece verifies and decodes one readPiece.
func readPiece(d Digest, get func(Digest) ([]byte, bool), into any) error {
	data, err := getVerified(d, get)
	if err != nil {
		return err
	}
	return decodePiece(d, data, into)
}

func getVerified(d Digest, get func(Digest) ([]byte, bool)) ([]byte, error) {
	data, ok := get(d)
	if !ok {
		return nil, trace.NotFound("piece %s is missing", d)
	}
	return data, VerifyPiece(d, data)
}

// decodePiece reads a piece and refuses any bytes but those that encode would write.
func decodePiece(d Digest, data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return malformed(d, "%v", err)
	}
	if !bytes.Equal(encode(into), data) {
		return malformed(d, "not in canonical form")
	}
	return nil
}

func malformed(d Digest, format string, arguments ...any) error {
	return trace.Wrap(&PieceError{d, Malformed, fmt.Sprintf(format, arguments...)})
}
