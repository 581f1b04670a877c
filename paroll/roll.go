package paroll

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/paplatform"
)

// Outcome is the result of a roll-out or roll-back; the constants below are all its values.
type Outcome string

// The values of Outcome.
const (
	// Won means that this command wrote the head.
	Won Outcome = "Won"
	// Lost means that another command wrote the head first; this one changed nothing.
	Lost Outcome = "Lost"
	// AlreadyInForce means that another command brought the same bundle into force.
	AlreadyInForce Outcome = "AlreadyInForce"
	// Unresolved means that a reply was lost and the head could not be read back: the write may have taken
	// effect, or may do so later. Repeating the command is safe and returns what happened.
	Unresolved Outcome = "Unresolved"
)

// String returns the outcome's name.
func (o Outcome) String() string { return string(o) }

// Request holds the parameters of a roll-out or roll-back.
type Request struct {
	Digest pabundle.Digest
	// After is the sequence that the operator expects in force. The default (nil) is the sequence at the
	// sign-off for a roll-out, and the current sequence for a roll-back.
	After *pabundle.Sequence
	// Floor, if not 0, makes the new sequence higher than it, for a store that lost writes.
	Floor pabundle.Sequence
}

// Result is the result of a roll-out or roll-back.
type Result struct {
	Outcome Outcome
	// Head is the head that this command wrote or tried to write.
	Head pabundle.Head
	// InForce is the head in force at the end; it is zero if it could not be read.
	InForce pabundle.Head
	// Advice tells the operator what to do next.
	Advice string
}

// rollKind distinguishes roll-outs from roll-backs in the roll ID.
type rollKind string

const (
	kindOut  rollKind = "RollOut"
	kindBack rollKind = "RollBack"
)

// RollOut brings a signed-off version into force. An error means that nothing was rolled out; once the
// head may have been written, the outcome is in the Result.
func (o *Operator) RollOut(ctx context.Context, q Request) (Result, error) {
	v, _, err := o.version(ctx, q.Digest)
	if err != nil {
		return Result{}, err
	}
	if err := o.checkVersion(q.Digest, &v); err != nil {
		return Result{}, err
	}
	if v.SignOff == nil || v.SignOff.Digest != q.Digest {
		return Result{}, trace.AccessDenied("version %s is %s; it must be signed off before it is rolled out", q.Digest, v.State)
	}
	after := v.SignOff.After
	if q.After != nil {
		after = *q.After
	}
	return o.roll(ctx, kindOut, q, after)
}

// RollBack brings a version that was in force before into force again, under a new sequence. Errors are as in
// RollOut.
func (o *Operator) RollBack(ctx context.Context, q Request) (Result, error) {
	h, _, err := o.head(ctx)
	if err != nil {
		return Result{}, err
	}
	// The head is authoritative: the record of the version in force may not be up to date yet.
	if err := o.updateRecords(ctx, h); err != nil {
		return Result{}, err
	}
	v, _, err := o.version(ctx, q.Digest)
	if err != nil {
		return Result{}, err
	}
	if err := o.checkVersion(q.Digest, &v); err != nil {
		return Result{}, err
	}
	if len(v.Rolls) == 0 {
		return Result{}, trace.AccessDenied("version %s is %s and was never in force; sign it off and roll it out", q.Digest, v.State)
	}
	after := h.Sequence
	if q.After != nil {
		after = *q.After
	}
	return o.roll(ctx, kindBack, q, after)
}

// roll writes the head. It reads the version record after the head: a command that replaces a head first
// updates the records for it, so a record read later includes every head that was replaced.
func (o *Operator) roll(ctx context.Context, k rollKind, q Request, after pabundle.Sequence) (Result, error) {
	current, revision, err := o.head(ctx)
	if err != nil {
		return Result{}, err
	}
	v, _, err := o.version(ctx, q.Digest)
	if err != nil {
		return Result{}, err
	}
	next := pabundle.Head{
		Deployment: o.Deployment, Sequence: max(after, q.Floor) + 1, Digest: q.Digest, Previous: current.Digest,
		RolledAt: o.rolledAt(current), RollID: o.rollID(k, q, after), Operator: o.Name,
	}
	if done, ok := o.findEarlier(next, current, v); ok {
		return done, nil
	}
	if current.Sequence != after {
		return lost(next, current), nil
	}
	if k == kindOut && v.State != SignedOff {
		return Result{}, trace.AccessDenied("version %s is %s; use roll-back to bring it into force again", q.Digest, v.State)
	}
	if next.Start, err = o.prepare(ctx, current, next); err != nil {
		return Result{}, trace.Wrap(err, "nothing was rolled out")
	}
	// Update the records for the head before replacing it: a command whose reply was lost and whose head
	// was superseded since can only learn from them that it had succeeded.
	if err := o.updateRecords(ctx, current); err != nil {
		return Result{}, trace.Wrap(err, "nothing was rolled out")
	}
	return o.write(ctx, next, revision)
}

// rolledAt returns the time of a roll-out: the current time, but not before that of the head it replaces.
// Operators' clocks differ, and shifts are computed from these times. If the time went back, daemons would
// compute shares that were never in effect and traffic would jump to them.
func (o *Operator) rolledAt(current pabundle.Head) time.Time {
	now := o.now()
	if now.Before(current.RolledAt) {
		return current.RolledAt
	}
	return now
}

// rollID returns the identifier of a command, a hash of its parameters. If an operator repeats a command
// after a lost reply, even from another machine, the ID is the same.
func (o *Operator) rollID(k rollKind, q Request, after pabundle.Sequence) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%s|%d|%d|%s", k, o.Deployment, q.Digest, after, q.Floor, o.Name))
	return hex.EncodeToString(sum[:8])
}

// findEarlier returns the result of a command that was carried out before, or whose bundle is in force already.
func (o *Operator) findEarlier(next, current pabundle.Head, v Version) (Result, bool) {
	if current.RollID == next.RollID {
		return won(current, current), true
	}
	if r, ok := v.findRoll(next.RollID); ok {
		next.Sequence, next.RolledAt = r.Sequence, r.At
		return won(next, current), true
	}
	if current.Digest == next.Digest {
		advice := fmt.Sprintf("%s brought it into force as sequence %d; nothing is left to do", current.Operator, current.Sequence)
		return Result{AlreadyInForce, current, current, advice}, true
	}
	return Result{}, false
}

func won(h, current pabundle.Head) Result {
	advice := "daemons bring it into force within seconds; each reports BundleInForce with this sequence on its time line"
	if current.Sequence > h.Sequence {
		advice = fmt.Sprintf("%s has since rolled out sequence %d", current.Operator, current.Sequence)
	}
	return Result{Won, h, current, advice}
}

func lost(h, current pabundle.Head) Result {
	advice := fmt.Sprintf("%s rolled out sequence %d first; compare with diff, then sign off again or give --after %d",
		current.Operator, current.Sequence, current.Sequence)
	if current.Sequence == 0 {
		advice = "nothing is in force in this store; check that it is the right one, or give --after 0"
	}
	return Result{Lost, h, current, advice}
}

// write writes the head by compare-and-swap and reads it back if a reply was lost. A write without a reply
// may take effect later, so finding the old head proves nothing. Repeating the same compare-and-swap is
// safe: at most one of the copies takes effect, because all expect the same revision.
func (o *Operator) write(ctx context.Context, next pabundle.Head, revision paplatform.Revision) (Result, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	maybeWritten := false
	for n := 0; n < writeAttempts; n++ {
		if n > 0 {
			o.pause(ctx, n-1)
		}
		_, err = o.Store.CompareAndSwap(ctx, HeadKey(o.Deployment), revision, data, "")
		switch paplatform.FaultOf(err) {
		case paplatform.None:
			return o.confirm(ctx, next), nil
		case paplatform.Conflict:
			if r, ok := o.readBack(ctx, next); ok {
				return r, nil
			}
			// The head was written, perhaps by this command, but could not be read back.
			maybeWritten = true
		case paplatform.Unavailable:
		case paplatform.Unknown:
			maybeWritten = true
		default:
			return Result{}, trace.Wrap(err, "nothing was rolled out")
		}
	}
	if maybeWritten {
		return Result{
			Outcome: Unresolved, Head: next,
			Advice: "repeat the same command when the store answers again; it is safe and reports what happened",
		}, nil
	}
	return Result{}, trace.Wrap(err, "nothing was rolled out; repeat the command when the store answers again")
}

// confirm updates the records after a successful write. If that fails, the next command does it.
func (o *Operator) confirm(ctx context.Context, next pabundle.Head) Result {
	r := won(next, next)
	if err := o.updateRecords(ctx, next); err != nil {
		r.Advice = "the records could not be brought up to date; the next command does it"
	}
	return r
}

// readBack finds out who wrote the head after a conflict; false means that it could not be read. If this
// command's write was superseded since, the version record shows it, because the command that superseded it
// updated the records first.
func (o *Operator) readBack(ctx context.Context, next pabundle.Head) (Result, bool) {
	current, _, err := o.head(ctx)
	if err != nil {
		return Result{}, false
	}
	if current.RollID == next.RollID {
		return o.confirm(ctx, current), true
	}
	v, _, err := o.version(ctx, next.Digest)
	if err != nil {
		return Result{}, false
	}
	if r, ok := v.findRoll(next.RollID); ok {
		next.Sequence, next.RolledAt = r.Sequence, r.At
		return won(next, current), true
	}
	return lost(next, current), true
}

// updateRecords updates the records of versions for a head: the version in force and the one it replaced.
func (o *Operator) updateRecords(ctx context.Context, h pabundle.Head) error {
	if h.Sequence == 0 {
		return nil
	}
	v, err := o.update(ctx, h.Digest, func(v *Version) (bool, error) { return recordRoll(v, h) })
	if err != nil || h.Previous == "" || h.Previous == h.Digest {
		return err
	}
	end := stepSupersede
	if v.Rolls[0].Sequence < h.Sequence {
		end = stepRollBack
	}
	_, err = o.update(ctx, h.Previous, func(p *Version) (bool, error) {
		if p.State != RolledOut || p.lastSequence() >= h.Sequence {
			return false, nil
		}
		return true, p.transition(end)
	})
	return err
}

// recordRoll adds a head to the record of the version that it brought into force.
func recordRoll(v *Version, h pabundle.Head) (bool, error) {
	if _, ok := v.findRoll(h.RollID); ok {
		return false, nil
	}
	if v.SignOff == nil {
		// The head is authoritative, also if the store lost the record or the version was proposed again.
		v.Digest, v.State = h.Digest, SignedOff
	}
	v.Rolls = append(v.Rolls, Roll{h.Sequence, h.RollID, h.Operator, h.RolledAt})
	return true, v.transition(stepRollOut)
}
