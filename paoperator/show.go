package paoperator

import (
	"context"
	"errors"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
)

// headArgument names the bundle in force where a bundle is asked for.
const headArgument = "head"

// minDigits is the fewest digits that may stand for a digest: enough that a slip of the hand meets
// another version less than once in four thousand million.
const minDigits = 8

func (c *Commands) check(_ context.Context, r run) error {
	b, err := readFile(r.command.Args().First())
	if err != nil {
		return r.faults(err)
	}
	d, err := b.Digest()
	if err != nil {
		return err
	}
	return r.output.checked(b, d)
}

// faults prints a bundle's faults as JSON if that is asked for; the text is in the error.
func (r run) faults(err error) error {
	var e *pabundle.ValidationError
	if errors.As(err, &e) && r.output.json {
		return errors.Join(err, r.output.write(e))
	}
	return err
}

func (c *Commands) status(ctx context.Context, r run) error {
	s, err := r.operator.Status(ctx)
	if err != nil {
		return err
	}
	return r.output.status(s)
}

func (c *Commands) diff(ctx context.Context, r run) error {
	from, to := r.command.Args().Get(0), r.command.Args().Get(1)
	if isFile(from) || isFile(to) {
		return r.diffFiles(ctx, from, to)
	}
	old, err := r.version(ctx, from)
	if err != nil {
		return err
	}
	fresh, err := r.version(ctx, to)
	if err != nil {
		return err
	}
	changes, err := r.operator.Changes(ctx, old, fresh)
	if err != nil {
		return err
	}
	return r.output.differences(changes)
}

// diffFiles compares two bundles of which at least one is a file.
func (r run) diffFiles(ctx context.Context, from, to string) error {
	old, err := r.bundle(ctx, from)
	if err != nil {
		return err
	}
	fresh, err := r.bundle(ctx, to)
	if err != nil {
		return err
	}
	return r.output.differences(pabundle.Diff(old, fresh))
}

func isFile(argument string) bool {
	_, err := os.Stat(argument)
	return err == nil && argument != headArgument
}

// bundle returns the bundle that an argument names: the head, a file or a digest.
func (r run) bundle(ctx context.Context, argument string) (pabundle.Bundle, error) {
	if isFile(argument) {
		return readFile(argument)
	}
	d, err := r.version(ctx, argument)
	if err != nil {
		return pabundle.Bundle{}, err
	}
	return r.operator.Bundle(ctx, d)
}

// version returns the digest that an argument names: that of the head, or a digest itself.
func (r run) version(ctx context.Context, argument string) (pabundle.Digest, error) {
	if argument != headArgument {
		return r.resolve(ctx, argument)
	}
	s, err := r.operator.Status(ctx)
	if err != nil {
		return "", err
	}
	if s.Head.Sequence == 0 {
		return "", trace.NotFound("nothing is in force in deployment %q yet", r.operator.Deployment)
	}
	return s.Head.Digest, nil
}

// digest returns the version that the first argument names.
func (r run) digest(ctx context.Context) (pabundle.Digest, error) {
	return r.resolve(ctx, r.command.Args().First())
}

// resolve completes a digest of which only the first digits are given.
func (r run) resolve(ctx context.Context, given string) (pabundle.Digest, error) {
	if d := pabundle.Digest(given); d.Valid() {
		return d, nil
	}
	if len(given) < minDigits {
		return "", trace.BadParameter("%q given, want a digest, or at least its first %d digits", given, minDigits)
	}
	s, err := r.operator.Status(ctx)
	if err != nil {
		return "", err
	}
	var found []pabundle.Digest
	for _, v := range s.Versions {
		if strings.HasPrefix(string(v.Digest), given) {
			found = append(found, v.Digest)
		}
	}
	switch len(found) {
	case 0:
		return "", trace.NotFound("no version begins with %q; see bundle status", given)
	case 1:
		return found[0], nil
	default:
		return "", trace.BadParameter("%d versions begin with %q; give more digits", len(found), given)
	}
}
