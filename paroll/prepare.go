package paroll

import (
	"context"
	"slices"

	"papayahead/pabundle"
	"papayahead/pashift"
)

// prepare verifies that the store has every piece of next that the head in force does not name. It
// returns the shares in effect at next.RolledAt, for the services whose shares next changes.
//
// These become the Start of the new head. Without it, a daemon that starts during a shift, or after a
// second roll-out, knows only the head in force and its bundle, and would use other shares than the
// daemons that know the history.
func (o *Operator) prepare(ctx context.Context, current, next pabundle.Head) (pashift.ServiceShares, error) {
	p := pieceReader{operator: o, loaded: map[pabundle.Digest][]byte{}}
	oldBundle, newBundle, err := p.loadBoth(ctx, current.Digest, next.Digest)
	if err != nil || current.Sequence == 0 {
		return nil, err
	}
	position := pashift.SharesAt(pashift.RollOut{Bundle: &oldBundle, Start: current.Start, RolledAt: current.RolledAt}, next.RolledAt)
	return pashift.ChangedShares(position, &newBundle), nil
}

// pieceReader reads and verifies pieces for one command, each only once.
type pieceReader struct {
	operator *Operator
	loaded   map[pabundle.Digest][]byte
}

// load reads pieces from the store and verifies them.
func (p pieceReader) load(ctx context.Context, all ...pabundle.Digest) error {
	for _, d := range all {
		if _, ok := p.loaded[d]; ok {
			continue
		}
		data, err := p.operator.piece(ctx, d)
		if err != nil {
			return err
		}
		p.loaded[d] = data
	}
	return nil
}

// loadBoth reads two versions without their client blocks, and verifies that the store has the pieces of
// client blocks that only the second version has.
func (p pieceReader) loadBoth(ctx context.Context, from, to pabundle.Digest) (oldBundle, newBundle pabundle.Bundle, err error) {
	oldBundle, known, err := p.loadWithoutBlocks(ctx, from)
	if err != nil {
		return oldBundle, newBundle, err
	}
	newBundle, m, err := p.loadWithoutBlocks(ctx, to)
	if err != nil {
		return oldBundle, newBundle, err
	}
	_, added, err := p.diffBlockPieces(ctx, known, m)
	if err != nil {
		return oldBundle, newBundle, err
	}
	return oldBundle, newBundle, p.load(ctx, added...)
}

// diffBlockPieces returns the pieces of client blocks that only one of two versions has. It reads only the
// lists that differ.
func (p pieceReader) diffBlockPieces(
	ctx context.Context, from, to pabundle.Manifest,
) (removed, added []pabundle.Digest, err error) {
	if removed, err = p.ownBlockPieces(ctx, from, to); err != nil {
		return nil, nil, err
	}
	if added, err = p.ownBlockPieces(ctx, to, from); err != nil {
		return nil, nil, err
	}
	shared := map[pabundle.Digest]bool{}
	for _, d := range removed {
		shared[d] = slices.Contains(added, d)
	}
	isShared := func(d pabundle.Digest) bool { return shared[d] }
	return slices.DeleteFunc(removed, isShared), slices.DeleteFunc(added, isShared), nil
}

// ownBlockPieces returns the pieces of client blocks of m, without those under digests that the manifest
// other also names.
func (p pieceReader) ownBlockPieces(ctx context.Context, m, other pabundle.Manifest) ([]pabundle.Digest, error) {
	inOther := map[pabundle.Digest]bool{}
	for _, d := range other.Blocks {
		inOther[d] = true
	}
	var all []pabundle.Digest
	for _, d := range m.Blocks {
		if inOther[d] {
			continue
		}
		children, err := p.children(ctx, d)
		if err != nil {
			return nil, err
		}
		if children == nil {
			children = []pabundle.Digest{d}
		}
		all = append(all, children...)
	}
	return all, nil
}

// children reads a piece and returns the digests that it refers to.
func (p pieceReader) children(ctx context.Context, d pabundle.Digest) ([]pabundle.Digest, error) {
	if err := p.load(ctx, d); err != nil {
		return nil, err
	}
	return pabundle.Children(false, p.loaded[d])
}

func (p pieceReader) get(d pabundle.Digest) ([]byte, bool) { data, ok := p.loaded[d]; return data, ok }

// clientBlocks reads the client blocks of pieces.
func (p pieceReader) clientBlocks(ctx context.Context, all []pabundle.Digest) ([]pabundle.ClientBlock, error) {
	if err := p.load(ctx, all...); err != nil {
		return nil, err
	}
	var blocks []pabundle.ClientBlock
	for _, d := range all {
		more, err := pabundle.DecodeBlocks(d, p.loaded[d])
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, more...)
	}
	return blocks, nil
}

// loadWithoutBlocks reads a bundle without its client blocks; an empty digest means the empty bundle.
func (p pieceReader) loadWithoutBlocks(ctx context.Context, d pabundle.Digest) (pabundle.Bundle, pabundle.Manifest, error) {
	if d == "" {
		return pabundle.Bundle{}, pabundle.Manifest{}, nil
	}
	if err := p.load(ctx, d); err != nil {
		return pabundle.Bundle{}, pabundle.Manifest{}, err
	}
	m, err := pabundle.DecodeManifest(d, p.loaded[d])
	if err != nil {
		return pabundle.Bundle{}, pabundle.Manifest{}, err
	}
	if err := p.load(ctx, append([]pabundle.Digest{m.Plan}, m.Services...)...); err != nil {
		return pabundle.Bundle{}, pabundle.Manifest{}, err
	}
	return pabundle.AssembleWithoutBlocks(d, p.get)
}
