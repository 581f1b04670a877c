package paoperator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/paroll"
)

// readBundleFile reads and validates a bundle file. A bundle that fails validation is returned with a
// pabundle.ValidationError that lists every error.
func readBundleFile(path string) (pabundle.Bundle, error) {
	f, err := os.Open(path)
	if err != nil {
		return pabundle.Bundle{}, trace.BadParameter("read bundle file: %v", err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, pabundle.MaxFileSize+1))
	if err != nil {
		return pabundle.Bundle{}, trace.BadParameter("read bundle file: %v", err)
	}
	b, errs := pabundle.Check(data)
	if len(errs) > 0 {
		return b, trace.Wrap(&pabundle.ValidationError{Errors: errs})
	}
	return b, nil
}

func (c *Commands) propose(ctx context.Context, r invocation) error {
	b, err := readBundleFile(r.command.Args().First())
	if err != nil {
		return r.reportErrors(err)
	}
	v, err := r.operator.Propose(ctx, b)
	if err != nil {
		return err
	}
	return r.output.version(v, "another operator reviews it: bundle review "+string(v.Digest))
}

func (c *Commands) review(ctx context.Context, r invocation) error {
	d, err := r.digestArgument(ctx)
	if err != nil {
		return err
	}
	v, err := r.operator.Review(ctx, d, r.command.String("note"))
	if err != nil {
		return err
	}
	changes, err := r.diffFromHead(ctx, d)
	if err != nil {
		return err
	}
	return r.output.reviewResult(v, changes)
}

// diffFromHead returns the differences between the head in force and a version.
func (r invocation) diffFromHead(ctx context.Context, d pabundle.Digest) ([]pabundle.Difference, error) {
	s, err := r.operator.Status(ctx)
	if err != nil {
		return nil, err
	}
	return r.operator.Changes(ctx, s.Head.Digest, d)
}

func (c *Commands) signOff(ctx context.Context, r invocation) error {
	d, err := r.digestArgument(ctx)
	if err != nil {
		return err
	}
	v, err := r.operator.SignOff(ctx, d)
	if err != nil {
		return err
	}
	return r.output.version(v, fmt.Sprintf("roll it out while sequence %d is in force: bundle roll-out %s", v.SignOff.After, v.Digest))
}

func (c *Commands) rollOut(ctx context.Context, r invocation) error {
	return c.runRoll(ctx, r, r.operator.RollOut)
}

func (c *Commands) rollBack(ctx context.Context, r invocation) error {
	return c.runRoll(ctx, r, r.operator.RollBack)
}

// runRoll runs a roll-out or roll-back, prints its result and maps a lost race or an unknown outcome
// to an exit code.
func (c *Commands) runRoll(ctx context.Context, r invocation, do func(context.Context, paroll.Request) (paroll.Result, error)) error {
	d, err := r.digestArgument(ctx)
	if err != nil {
		return err
	}
	q := paroll.Request{Digest: d, Floor: pabundle.Sequence(r.command.Uint64("floor"))}
	if r.command.IsSet("after") {
		after := pabundle.Sequence(r.command.Uint64("after"))
		q.After = &after
	}
	result, err := do(ctx, q)
	if err != nil {
		return err
	}
	if err := r.output.rollResult(result); err != nil {
		return err
	}
	switch result.Outcome {
	case paroll.Lost:
		return &ExitError{LostRace, errors.New("another operator changed the head first: " + result.Advice)}
	case paroll.Unresolved:
		return &ExitError{OutcomeUnknown, errors.New("outcome unknown: " + result.Advice)}
	default:
		return nil
	}
}
