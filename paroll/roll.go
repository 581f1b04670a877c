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

// Outcome is the closed set of ways in which a roll-out or roll-back ends.
type Outcome string

// The outcomes of a roll.
const (
	// Won says that this command wrote the head.
	Won Outcome = "Won"
	// Lost says that another command wrote the head first; this one changed nothing.
	Lost Outcome = "Lost"
	// AlreadyInForce says that another command brought the same bundle into force.
	AlreadyInForce Outcome = "AlreadyInForce"
	// Unresolved says that the reply was lost and could not be read back: the head may have been
	// written, or may be yet. Repeating the same command is safe and finds out.
	Unresolved Outcome = "Unresolved"
)

// String returns the outcome's name.
func (o Outcome) String() string { return string(o) }

// Request asks for a roll-out or a roll-back.
type Request struct {
	Digest pabundle.Digest
	// After is the sequence that the operator expects in force; nil is, for a roll-out, the one
	// that was signed off against, and for a roll-back the current one.
	After *pabundle.Sequence
	// Floor raises the new sequence above a number, after the store lost writes; 0 is no floor.
	Floor pabundle.Sequence
}

// Result says how a roll ended.
type Result struct {
	Outcome Outcome
	// Head is what this command wrote, or meant to write.
	Head pabundle.Head
	// InForce is the head in force at the end, as far as it could be read.
	InForce pabundle.Head
	// Advice says what to do next.
	Advice string
}

// rollKind tells roll-outs and roll-backs apart in the roll ID.
type rollKind string

const (
	kindOut  rollKind = "RollOut"
	kindBack rollKind = "RollBack"
)

// RollOut brings a signed-off version into force. Faults before the head could be written are
// errors and have changed nothing; everything after is the Result.
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

// RollBack brings a version into force that was in force before, under a new sequence.
func (o *Operator) RollBack(ctx context.Context, q Request) (Result, error) {
	h, _, err := o.head(ctx)
	if err != nil {
		return Result{}, err
	}
	// The head goes before the records: the version in force may not be recorded as such yet.
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

// roll writes the head. It reads the record after the head: whoever replaced a head settled its
// records first, so a record that is read later knows of every head that was replaced.
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
	// The records of the head that is about to be replaced must be right first: they are what tells
	// a command whose reply was lost, and that was superseded since, that it had won.
	if err := o.updateRecords(ctx, current); err != nil {
		return Result{}, trace.Wrap(err, "nothing was rolled out")
	}
	return o.write(ctx, next, revision)
}

// rolledAt returns the time of a roll: now, but not before the head that it replaces. Shifts are a
// function of these times; of two operators' clocks one is behind, and a time that fell would have
// shares stand where they never stood, which daemons would jump to.
func (o *Operator) rolledAt(current pabundle.Head) time.Time {
	now := o.now()
	if now.Before(current.RolledAt) {
		return current.RolledAt
	}
	return now
}

// rollID names a command. It is made of what the command says, so that an operator who repeats a
// command after its reply was lost, even from another machine, is recognised as the same.
func (o *Operator) rollID(k rollKind, q Request, after pabundle.Sequence) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%s|%d|%d|%s", k, o.Deployment, q.Digest, after, q.Floor, o.Name))
	return hex.EncodeToString(sum[:8])
}

// findEarlier recognises a command that was carried out before.
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
	advice := "daemons take it within seconds; each reports BundleInForce with this sequence on its time line"
	if current.Sequence > h.Sequence {
		advice = fmt.Sprintf("%s has since rolled out sequence %d", current.Operator, current.Sequence)
	}
	return Result{Won, h, current, advice}
}

func lost(h, current pabundle.Head) Result {
	advice := fmt.Sprintf("%s rolled out sequence %d first; compare with diff, then sign off again or give --after %d",
		current.Operator, current.Sequence, current.Sequence)
	if current.Sequence == 0 {
		advice = "nothing is in force in this store; look whether it is the right one, or give --after 0"
	}
	return Result{Lost, h, current, advice}
}

// write swaps the head in, and reads it back where the reply was lost. A lost write may also take
// effect late, so reading the old head back proves nothing; sending the same swap again does: of
// all copies at most one takes effect, because each expects the same revision.
func (o *Operator) write(ctx context.Context, next pabundle.Head, revision paplatform.Revision) (Result, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	doubt := false
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
			// Someone wrote the head, perhaps this command; who it was could not be read.
			doubt = true
		case paplatform.Unavailable:
		case paplatform.Unknown:
			doubt = true
		default:
			return Result{}, trace.Wrap(err, "nothing was rolled out")
		}
	}
	if doubt {
		return Result{Outcome: Unresolved, Head: next, Advice: "repeat the same command when the store answers again; it is safe and says what happened"}, nil
	}
	return Result{}, trace.Wrap(err, "nothing was rolled out; repeat the command when the store answers again")
}

// confirm brings the records up to date after a win. If that fails, the next command does it.
func (o *Operator) confirm(ctx context.Context, next pabundle.Head) Result {
	r := won(next, next)
	if err := o.updateRecords(ctx, next); err != nil {
		r.Advice = "the records could not be brought up to date; the next command does it"
	}
	return r
}

// readBack finds out after a conflict who wrote the head. If this command's write took effect and
// was superseded since, whoever superseded it settled the records first, so they tell.
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

// updateRecords brings the records of versions up to date with a head.
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

// recordRoll notes that a head brought the version into force.
func recordRoll(v *Version, h pabundle.Head) (bool, error) {
	if _, ok := v.findRoll(h.RollID); ok {
		return false, nil
	}
	if v.SignOff == nil {
		// The head is the truth, also where the store lost the record or it was proposed anew.
		v.Digest, v.State = h.Digest, SignedOff
	}
	v.Rolls = append(v.Rolls, Roll{h.Sequence, h.RollID, h.Operator, h.RolledAt})
	return true, v.transition(stepRollOut)
}
