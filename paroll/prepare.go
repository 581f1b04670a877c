package paroll

import (
	"context"
	"slices"

	"papayahead/pabundle"
	"papayahead/pashift"
)

// prepare makes sure that the store has every piece that daemons will need and that the head in
// force does not already name, and returns where the shares stand now, for the services whose
// shares the next head moves.
//
// Guards against a jump: a daemon that boots in mid-shift, or after a second roll, knows the head in
// force and its bundle but no history. With the start in the head it stands where the others stand.
func (o *Operator) prepare(ctx context.Context, current, next pabundle.Head) (pashift.Position, error) {
	p := pieceReader{operator: o, loaded: map[pabundle.Digest][]byte{}}
	was, will, err := p.loadBoth(ctx, current.Digest, next.Digest)
	if err != nil || current.Sequence == 0 {
		return nil, err
	}
	stands := pashift.At(pashift.Roll{Bundle: &was, Start: current.Start, RolledAt: current.RolledAt}, next.RolledAt)
	return pashift.Moves(stands, &will), nil
}

// pieceReader reads pieceReader for one command, each once.
type pieceReader struct {
	operator *Operator
	loaded     map[pabundle.Digest][]byte
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

// loadBoth reads two versions without their client blocks, and makes sure that the store has those
// pieces of client blocks that only the second has.
func (p pieceReader) loadBoth(ctx context.Context, from, to pabundle.Digest) (was, will pabundle.Bundle, err error) {
	was, known, err := p.loadWithoutBlocks(ctx, from)
	if err != nil {
		return was, will, err
	}
	will, m, err := p.loadWithoutBlocks(ctx, to)
	if err != nil {
		return was, will, err
	}
	_, fresh, err := p.diffBlockPieces(ctx, known, m)
	if err != nil {
		return was, will, err
	}
	return was, will, p.load(ctx, fresh...)
}

// diffBlockPieces returns the pieces of client blocks that only the one or only the other version has.
// It reads the lists that differ.
func (p pieceReader) diffBlockPieces(ctx context.Context, from, to pabundle.Manifest) (gone, fresh []pabundle.Digest, err error) {
	if gone, err = p.ownBlockPieces(ctx, from, to); err != nil {
		return nil, nil, err
	}
	if fresh, err = p.ownBlockPieces(ctx, to, from); err != nil {
		return nil, nil, err
	}
	shared := map[pabundle.Digest]bool{}
	for _, d := range gone {
		shared[d] = slices.Contains(fresh, d)
	}
	isShared := func(d pabundle.Digest) bool { return shared[d] }
	return slices.DeleteFunc(gone, isShared), slices.DeleteFunc(fresh, isShared), nil
}

// ownBlockPieces returns the pieces of client blocks of a version under those names in its manifest that the
// other's manifest does not have.
func (p pieceReader) ownBlockPieces(ctx context.Context, m, other pabundle.Manifest) ([]pabundle.Digest, error) {
	theirs := map[pabundle.Digest]bool{}
	for _, d := range other.Blocks {
		theirs[d] = true
	}
	var all []pabundle.Digest
	for _, d := range m.Blocks {
		if theirs[d] {
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

// children reads a piece and returns what it names.
func (p pieceReader) children(ctx context.Context, d pabundle.Digest) ([]pabundle.Digest, error) {
	if err := p.load(ctx, d); err != nil {
		return nil, err
	}
	return pabundle.Children(false, p.loaded[d])
}

func (p pieceReader) get(d pabundle.Digest) ([]byte, bool) { data, ok := p.loaded[d]; return data, ok }

// clientBlocks reads the blocks of some pieces.
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

// loadWithoutBlocks reads a bundle without its client blocks; an empty digest is the empty bundle.
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
