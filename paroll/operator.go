package paroll

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"papayahead/pabundle"
	"papayahead/paplatform"
)

// writeAttempts is the maximum number of attempts for a write that had a conflict or whose reply was
// lost. Four attempts outlast a restart of the platform's front end. A command that still fails has
// changed nothing or reports that its effect is unknown.
const writeAttempts = 4

// retryDelay is the delay before the first repeat of a write; it doubles with each repeat.
const retryDelay = 200 * time.Millisecond

// Operator implements the commands of one operator on one deployment. All commands are idempotent: what is
// done already is not done again.
type Operator struct {
	// Name identifies the operator.
	Name       string
	Deployment string
	Store      paplatform.Store
	Clock      clockwork.Clock
	// Random is the source of jitter for delays between writes; nil means no jitter.
	Random *rand.Rand
}

// Propose writes a bundle's pieces and its version record to the store. The error
// wraps a *pabundle.ValidationError for an invalid bundle and is trace.BadParameter for one of another
// deployment.
func (o *Operator) Propose(ctx context.Context, b pabundle.Bundle) (Version, error) {
	if o.Name == "" {
		return Version{}, trace.BadParameter("no operator given, want the name of who proposes")
	}
	if b.Deployment != o.Deployment {
		return Version{}, trace.BadParameter("bundle of deployment %q given, want %q", b.Deployment, o.Deployment)
	}
	if errs := b.Validate(); len(errs) > 0 {
		return Version{}, trace.Wrap(&pabundle.ValidationError{Errors: errs})
	}
	s, err := b.Split()
	if err != nil {
		return Version{}, trace.Wrap(err)
	}
	if err := o.upload(ctx, s); err != nil {
		return Version{}, trace.Wrap(err)
	}
	proposed := Version{
		Digest: s.Digest, State: Proposed, Proposer: o.Name, ProposedAt: o.now(), Comment: b.Comment,
		Reviews: []Review{}, Rolls: []Roll{},
	}
	return o.update(ctx, s.Digest, func(v *Version) (bool, error) {
		if v.Digest != "" {
			return false, nil
		}
		*v = proposed
		return true, nil
	})
}

// upload writes the pieces that the head in force does not name. The manifest is written last, so that its
// presence implies that of the other pieces. If the bundle itself is in force, all pieces are written: by
// proposing it again, operators repair pieces that the store lost or damaged.
func (o *Operator) upload(ctx context.Context, s pabundle.SplitBundle) error {
	known, err := o.inForcePieces(ctx, s)
	if err != nil {
		return err
	}
	for _, d := range s.Order {
		if known[d] {
			continue
		}
		if err := o.putPiece(ctx, d, s.Pieces[d]); err != nil {
			return err
		}
	}
	return nil
}

// inForcePieces returns the digests of the pieces of the head in force, or none if there is no head or it
// names the proposed bundle. It omits pieces whose parents cannot be read; they are written again.
func (o *Operator) inForcePieces(ctx context.Context, proposed pabundle.SplitBundle) (map[pabundle.Digest]bool, error) {
	h, _, err := o.head(ctx)
	if err != nil || h.Sequence == 0 || h.Digest == proposed.Digest {
		return nil, err
	}
	known := map[pabundle.Digest]bool{}
	p := pieceReader{operator: o, loaded: map[pabundle.Digest][]byte{}}
	if p.load(ctx, h.Digest) != nil {
		return known, nil
	}
	m, err := pabundle.DecodeManifest(h.Digest, p.loaded[h.Digest])
	if err != nil {
		return known, nil
	}
	for _, d := range m.Digests() {
		known[d] = true
	}
	for _, d := range m.Blocks {
		if data, ok := proposed.Pieces[d]; ok {
			p.loaded[d] = data
		}
		children, err := p.children(ctx, d)
		if err != nil {
			continue
		}
		for _, c := range children {
			known[c] = true
		}
	}
	return known, nil
}

// putPiece writes a piece unless it exists. A damaged piece under the same key is replaced, because nothing
// else would repair it.
func (o *Operator) putPiece(ctx context.Context, d pabundle.Digest, data []byte) error {
	key := PieceKey(o.Deployment, d)
	var expected paplatform.Revision
	for n := 0; ; n++ {
		_, err := o.Store.CompareAndSwap(ctx, key, expected, data, "")
		if err == nil || !retryable(err) || n+1 >= writeAttempts {
			return err
		}
		if paplatform.FaultOf(err) != paplatform.Conflict {
			o.pause(ctx, n)
		}
		v, found, err := o.Store.Get(ctx, key)
		if err != nil {
			return err
		}
		if found && pabundle.VerifyPiece(d, v.Data) == nil {
			return nil
		}
		expected = v.Revision
	}
}

// Review records that the operator has reviewed a version; the proposer may not. It fails if the store
// lacks pieces of the version that are not part of the head in force.
func (o *Operator) Review(ctx context.Context, d pabundle.Digest, note string) (Version, error) {
	h, _, err := o.head(ctx)
	if err != nil {
		return Version{}, err
	}
	p := pieceReader{operator: o, loaded: map[pabundle.Digest][]byte{}}
	if _, _, err := p.loadBoth(ctx, h.Digest, d); err != nil {
		return Version{}, trace.Wrap(err, "the version cannot be read whole from the store; propose it again")
	}
	return o.update(ctx, d, func(v *Version) (bool, error) {
		if err := o.checkVersion(d, v); err != nil {
			return false, err
		}
		if v.Proposer == o.Name {
			return false, trace.AccessDenied("%q proposed version %s, want a review by another operator", o.Name, d)
		}
		if slices.ContainsFunc(v.Reviews, func(r Review) bool { return r.Operator == o.Name }) {
			return false, nil
		}
		if err := v.transition(stepReview); err != nil {
			return false, err
		}
		v.Reviews = append(v.Reviews, Review{o.Name, o.now(), note})
		return true, nil
	})
}

// SignOff permits the roll-out of a version on top of the head that is in force now; the proposer may not
// sign off. If the head changes, the version can be signed off again.
func (o *Operator) SignOff(ctx context.Context, d pabundle.Digest) (Version, error) {
	h, _, err := o.head(ctx)
	if err != nil {
		return Version{}, err
	}
	return o.update(ctx, d, func(v *Version) (bool, error) {
		if err := o.checkVersion(d, v); err != nil {
			return false, err
		}
		if v.Proposer == o.Name {
			return false, trace.AccessDenied("%q proposed version %s, want a sign-off by another operator", o.Name, d)
		}
		if v.SignOff != nil && v.SignOff.After == h.Sequence && v.SignOff.Operator == o.Name {
			return false, nil
		}
		if err := v.transition(stepSignOff); err != nil {
			return false, err
		}
		v.SignOff = &SignOff{Operator: o.Name, At: o.now(), Digest: d, After: h.Sequence}
		return true, nil
	})
}

// checkVersion refuses a command without an operator's name, or on a version that was never proposed or
// whose record has the digest of another.
func (o *Operator) checkVersion(d pabundle.Digest, v *Version) error {
	if o.Name == "" {
		return trace.BadParameter("no operator given, want the name of who does this")
	}
	if v.Digest == "" {
		return trace.NotFound("version %s is not known in deployment %q; propose it first", d, o.Deployment)
	}
	if v.Digest != d {
		return trace.BadParameter("the record of version %s names %s; propose the version again", d, v.Digest)
	}
	return nil
}

// update changes the record of a version by compare-and-swap. It calls change again after a conflict or a
// lost reply, so change must detect that it is done already and then return false.
func (o *Operator) update(ctx context.Context, d pabundle.Digest, change func(*Version) (bool, error)) (Version, error) {
	key := VersionKey(o.Deployment, d)
	for n := 0; ; n++ {
		v, revision, err := o.version(ctx, d)
		if err != nil {
			return Version{}, err
		}
		changed, err := change(&v)
		if err != nil || !changed {
			return v, err
		}
		data, err := json.Marshal(v)
		if err != nil {
			return Version{}, trace.Wrap(err)
		}
		_, err = o.Store.CompareAndSwap(ctx, key, revision, data, "")
		if err == nil || !retryable(err) || n+1 >= writeAttempts {
			return v, err
		}
		if paplatform.FaultOf(err) != paplatform.Conflict {
			o.pause(ctx, n)
		}
	}
}

// retryable reports whether a write may be repeated after reading the current value.
func retryable(err error) bool {
	switch paplatform.FaultOf(err) {
	case paplatform.Conflict, paplatform.Unknown, paplatform.Unavailable:
		return true
	default:
		return false
	}
}

// pause waits before repeat n of a write.
func (o *Operator) pause(ctx context.Context, n int) {
	d := retryDelay << n
	if o.Random != nil {
		d = d/2 + time.Duration(o.Random.Int64N(int64(d/2)))
	}
	select {
	case <-o.Clock.After(d):
	case <-ctx.Done():
	}
}

func (o *Operator) now() time.Time { return o.Clock.Now().UTC().Round(0) }
