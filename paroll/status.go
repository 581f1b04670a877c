package paroll

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/paplatform"
)

// Status is the state of a deployment according to the store.
type Status struct {
	// Head is the head in force; its sequence is 0 before the first roll-out.
	Head pabundle.Head
	// Versions lists all versions, the latest proposed first. The version that Head names is in force, even
	// if its record does not say so yet: the next command updates it.
	Versions []Version
}

// Status reads the head and the records of all versions, in two calls.
func (o *Operator) Status(ctx context.Context) (Status, error) {
	h, _, err := o.head(ctx)
	if err != nil {
		return Status{}, err
	}
	reply, err := o.Store.Watch(ctx, paplatform.WatchRequest{Key: versionPrefix(o.Deployment), Prefix: true})
	if err != nil {
		return Status{}, trace.Wrap(err)
	}
	s := Status{Head: h, Versions: []Version{}}
	for _, c := range reply.Changes {
		var v Version
		if err := json.Unmarshal(c.Data, &v); err != nil {
			return Status{}, trace.BadParameter("record %s cannot be read: %v", c.Key, err)
		}
		s.Versions = append(s.Versions, v)
	}
	slices.SortStableFunc(s.Versions, func(a, b Version) int { return b.ProposedAt.Compare(a.ProposedAt) })
	return s, nil
}

// Bundle reads a bundle from the store and verifies it completely, as pabundle.Assemble does.
func (o *Operator) Bundle(ctx context.Context, d pabundle.Digest) (pabundle.Bundle, error) {
	p := pieceReader{operator: o, loaded: map[pabundle.Digest][]byte{}}
	for {
		missing, err := pabundle.MissingPieces(d, p.get)
		if err != nil {
			return pabundle.Bundle{}, trace.Wrap(err)
		}
		if len(missing) == 0 {
			break
		}
		if err := p.load(ctx, missing...); err != nil {
			return pabundle.Bundle{}, err
		}
	}
	b, err := pabundle.Assemble(d, p.get)
	return b, trace.Wrap(err)
}

// Changes returns the differences between two versions. It reads their plans and services, and only those
// pieces of client blocks that differ. An empty digest means the empty bundle.
func (o *Operator) Changes(ctx context.Context, from, to pabundle.Digest) ([]pabundle.Difference, error) {
	p := pieceReader{operator: o, loaded: map[pabundle.Digest][]byte{}}
	old, oldManifest, err := p.loadWithoutBlocks(ctx, from)
	if err != nil {
		return nil, err
	}
	updated, newManifest, err := p.loadWithoutBlocks(ctx, to)
	if err != nil {
		return nil, err
	}
	removedBlocks, addedBlocks, err := p.diffBlockPieces(ctx, oldManifest, newManifest)
	if err != nil {
		return nil, err
	}
	if old.ClientBlocks, err = p.clientBlocks(ctx, removedBlocks); err != nil {
		return nil, err
	}
	if updated.ClientBlocks, err = p.clientBlocks(ctx, addedBlocks); err != nil {
		return nil, err
	}
	return pabundle.Diff(old, updated), nil
}

// piece reads and verifies one piece.
func (o *Operator) piece(ctx context.Context, d pabundle.Digest) ([]byte, error) {
	v, found, err := o.Store.Get(ctx, PieceKey(o.Deployment, d))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !found {
		return nil, trace.NotFound("piece %s is not in the store", d)
	}
	return v.Data, pabundle.VerifyPiece(d, v.Data)
}

// head reads the head; its sequence and revision are 0 before the first roll-out.
func (o *Operator) head(ctx context.Context) (pabundle.Head, paplatform.Revision, error) {
	v, found, err := o.Store.Get(ctx, HeadKey(o.Deployment))
	if err != nil || !found {
		return pabundle.Head{}, 0, trace.Wrap(err)
	}
	h, err := decodeHead(v.Data)
	return h, v.Revision, err
}

// version reads the record of a version; its digest is empty if there is none.
func (o *Operator) version(ctx context.Context, d pabundle.Digest) (Version, paplatform.Revision, error) {
	if !d.Valid() {
		return Version{}, 0, trace.BadParameter("digest %q given, want 64 lower-case hexadecimal digits", d)
	}
	v, found, err := o.Store.Get(ctx, VersionKey(o.Deployment, d))
	if err != nil || !found {
		return Version{}, 0, trace.Wrap(err)
	}
	var record Version
	if err := json.Unmarshal(v.Data, &record); err != nil {
		return Version{}, 0, trace.BadParameter("the record of version %s cannot be read: %v", d, err)
	}
	return record, v.Revision, nil
}

func decodeHead(data []byte) (pabundle.Head, error) {
	var h pabundle.Head
	if err := json.Unmarshal(data, &h); err != nil {
		return pabundle.Head{}, trace.BadParameter("the head cannot be read: %v", err)
	}
	return h, nil
}
