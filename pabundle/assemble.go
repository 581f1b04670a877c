package pabundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/gravitational/trace"
)

// PieceProblem is the reason why a piece was refused; the constants below are all its values.
type PieceProblem string

// The reasons for refusing a piece.
const (
	// WrongDigest means that the bytes don't have the expected digest: they are corrupt or truncated.
	WrongDigest PieceProblem = "WrongDigest"
	// Oversize means that the piece is larger than MaxPieceSize.
	Oversize PieceProblem = "Oversize"
	// Malformed means that the digest is right, but the content is not valid where the piece is used.
	Malformed PieceProblem = "Malformed"
)

// PieceError reports a piece that was refused.
type PieceError struct {
	Digest  Digest
	Problem PieceProblem
	Detail  string
}

// Error returns the digest, the problem and its details.
func (e *PieceError) Error() string {
	return fmt.Sprintf("piece %s: %s: %s", e.Digest, e.Problem, e.Detail)
}

// VerifyPiece checks that data has the digest d and at most MaxPieceSize bytes, and otherwise
// returns an error that wraps a *PieceError. Code that fetches a piece from the store or a neighbour calls
// it before it decodes the bytes.
func VerifyPiece(d Digest, data []byte) error {
	if len(data) > MaxPieceSize {
		return trace.Wrap(&PieceError{d, Oversize, fmt.Sprintf("%d bytes, at most %d allowed", len(data), MaxPieceSize)})
	}
	if got := DigestOf(data); got != d {
		return trace.Wrap(&PieceError{d, WrongDigest, fmt.Sprintf("the bytes have digest %s", got)})
	}
	return nil
}

// DecodeManifest decodes a manifest that VerifyPiece accepted. Errors wrap a *PieceError.
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

// DecodeBlocks decodes a piece of client blocks that VerifyPiece accepted. Errors wrap a *PieceError.
func DecodeBlocks(d Digest, data []byte) ([]ClientBlock, error) {
	var blocks []ClientBlock
	if err := decodePiece(d, data, &blocks); err != nil {
		return nil, err
	}
	return blocks, nil
}

// Children returns the digests that a piece refers to. Only a manifest (root is true) and a list of
// pieces of client blocks refer to others; for any other piece the result is empty.
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

// isDigestList reports whether a piece is a list of digests, rather than client blocks, a service or a plan.
func isDigestList(data []byte) bool { return bytes.HasPrefix(data, []byte(`["`)) }

// MissingPieces returns the digests of the bundle d that get does not have and that Assemble needs.
// Children of a missing piece are unknown, so the caller fetches the result and calls again: first
// for the manifest, then for the pieces that it names, then for those that its lists name.
func MissingPieces(d Digest, get func(Digest) ([]byte, bool)) ([]Digest, error) {
	var missing []Digest
	level := []Digest{d}
	for depth := 0; len(level) > 0; depth++ {
		var next []Digest
		for _, p := range level {
			data, ok := get(p)
			if !ok {
				missing = append(missing, p)
				continue
			}
			// Lists are not nested: they name only pieces of client blocks.
			if depth > 1 {
				continue
			}
			children, err := Children(depth == 0, data)
			if err != nil {
				return nil, err
			}
			next = append(next, children...)
		}
		level = next
	}
	return missing, nil
}

// blockPieces returns the digests of all pieces of client blocks, with the lists of the manifest
// expanded. A digest for which known is true is a piece of client blocks and is not read; the others
// are read to find out whether they are lists.
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

// Assemble decodes the bundle d from its pieces and verifies it completely: the digest of each piece,
// that Split would produce the same pieces, and that Validate finds no error. The error is
// trace.NotFound for a missing piece, wraps a *PieceError for a bad one, and wraps a *ValidationError for
// an invalid bundle.
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
		return Bundle{}, malformed(d, "the pieces are not the canonical ones of their bundle, which has digest %s", s.Digest)
	}
	if errs := b.Validate(); len(errs) > 0 {
		return Bundle{}, trace.Wrap(&ValidationError{errs})
	}
	return b, nil
}

// AssembleWithoutBlocks decodes the bundle d without its client blocks. It verifies only the digests
// of the pieces that it reads, which is enough for commands on bundles that were verified when they
// were proposed.
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

// decodeBundle decodes all pieces that a manifest names.
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

// decodeWithoutBlocks decodes the plan and the services that a manifest names.
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

// getVerified returns the bytes of a piece after VerifyPiece accepted them.
func getVerified(d Digest, get func(Digest) ([]byte, bool)) ([]byte, error) {
	data, ok := get(d)
	if !ok {
		return nil, trace.NotFound("piece %s is missing", d)
	}
	return data, VerifyPiece(d, data)
}

// decodePiece decodes a piece and refuses any encoding but the one that encode writes, so that equal
// content always has the same digest.
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
