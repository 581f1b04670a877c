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

// readFile reads and checks a bundle's file.
func readFile(path string) (pabundle.Bundle, error) {
	f, err := os.Open(path)
	if err != nil {
		return pabundle.Bundle{}, trace.BadParameter("%v; want a bundle's file", err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, pabundle.MaxFileSize+1))
	if err != nil {
		return pabundle.Bundle{}, trace.BadParameter("%v; want a bundle's file", err)
	}
	b, faults := pabundle.Check(data)
	if len(faults) > 0 {
		return b, trace.Wrap(&pabundle.ValidationError{Errors: faults})
	}
	return b, nil
}

func (c *Commands) propose(ctx context.Context, r run) error {
	b, err := readFile(r.command.Args().First())
	if err != nil {
		return r.faults(err)
	}
	v, err := r.operator.Propose(ctx, b)
	if err != nil {
		return err
	}
	return r.output.version(v, "another operator reviews it: bundle review "+string(v.Digest))
}

func (c *Commands) review(ctx context.Context, r run) error {
	d, err := r.digest(ctx)
	if err != nil {
		return err
	}
	v, err := r.operator.Review(ctx, d, r.command.String("note"))
	if err != nil {
		return err
	}
	changes, err := r.fromHead(ctx, d)
	if err != nil {
		return err
	}
	return r.output.reviewed(v, changes)
}

// fromHead returns what a version changes against the head in force.
func (r run) fromHead(ctx context.Context, d pabundle.Digest) ([]pabundle.Difference, error) {
	s, err := r.operator.Status(ctx)
	if err != nil {
		return nil, err
	}
	return r.operator.Changes(ctx, s.Head.Digest, d)
}

func (c *Commands) signOff(ctx context.Context, r run) error {
	d, err := r.digest(ctx)
	if err != nil {
		return err
	}
	v, err := r.operator.SignOff(ctx, d)
	if err != nil {
		return err
	}
	return r.output.version(v, fmt.Sprintf("roll it out while sequence %d is in force: bundle roll-out %s", v.SignOff.After, v.Digest))
}

func (c *Commands) rollOut(ctx context.Context, r run) error {
	return c.roll(ctx, r, r.operator.RollOut)
}

func (c *Commands) rollBack(ctx context.Context, r run) error {
	return c.roll(ctx, r, r.operator.RollBack)
}

// roll carries out a roll-out or roll-back and reports how it ended.
func (c *Commands) roll(ctx context.Context, r run, do func(context.Context, paroll.Request) (paroll.Result, error)) error {
	d, err := r.digest(ctx)
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
	if err := r.output.result(result); err != nil {
		return err
	}
	switch result.Outcome {
	case paroll.Lost:
		return &ExitError{LostRace, errors.New("lost: " + result.Advice)}
	case paroll.Unresolved:
		return &ExitError{OutcomeUnknown, errors.New("not known: " + result.Advice)}
	default:
		return nil
	}
}
