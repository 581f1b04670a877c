package paoperator

import (
	"context"
	"errors"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
)

// headArgument is the command argument that stands for the bundle in force.
const headArgument = "head"

// minDigestPrefix is the minimum length of an abbreviated digest: with 8 hexadecimal digits a mistyped
// prefix matches another version with a chance below 1 in 4 billion.
const minDigestPrefix = 8

func (c *Commands) check(_ context.Context, r invocation) error {
	b, err := readBundleFile(r.command.Args().First())
	if err != nil {
		return r.reportErrors(err)
	}
	d, err := b.Digest()
	if err != nil {
		return err
	}
	return r.output.checkResult(b, d)
}

// reportErrors prints validation errors as JSON if the output is JSON, and returns err; its text lists
// the same errors.
func (r invocation) reportErrors(err error) error {
	var e *pabundle.ValidationError
	if errors.As(err, &e) && r.output.json {
		return errors.Join(err, r.output.writeJSON(e))
	}
	return err
}

func (c *Commands) status(ctx context.Context, r invocation) error {
	s, err := r.operator.Status(ctx)
	if err != nil {
		return err
	}
	return r.output.status(s)
}

func (c *Commands) diff(ctx context.Context, r invocation) error {
	from, to := r.command.Args().Get(0), r.command.Args().Get(1)
	if isFile(from) || isFile(to) {
		return r.diffFiles(ctx, from, to)
	}
	old, err := r.resolveVersion(ctx, from)
	if err != nil {
		return err
	}
	updated, err := r.resolveVersion(ctx, to)
	if err != nil {
		return err
	}
	changes, err := r.operator.Changes(ctx, old, updated)
	if err != nil {
		return err
	}
	return r.output.differences(changes)
}

// diffFiles prints the differences between two bundles, at least one of which is a file.
func (r invocation) diffFiles(ctx context.Context, from, to string) error {
	old, err := r.bundle(ctx, from)
	if err != nil {
		return err
	}
	updated, err := r.bundle(ctx, to)
	if err != nil {
		return err
	}
	return r.output.differences(pabundle.Diff(old, updated))
}

func isFile(argument string) bool {
	_, err := os.Stat(argument)
	return err == nil && argument != headArgument
}

// bundle returns the bundle that an argument refers to: the head, a file or a digest.
func (r invocation) bundle(ctx context.Context, argument string) (pabundle.Bundle, error) {
	if isFile(argument) {
		return readBundleFile(argument)
	}
	d, err := r.resolveVersion(ctx, argument)
	if err != nil {
		return pabundle.Bundle{}, err
	}
	return r.operator.Bundle(ctx, d)
}

// resolveVersion returns the digest that an argument refers to: the head's, or a full or abbreviated digest.
func (r invocation) resolveVersion(ctx context.Context, argument string) (pabundle.Digest, error) {
	if argument != headArgument {
		return r.expandDigest(ctx, argument)
	}
	s, err := r.operator.Status(ctx)
	if err != nil {
		return "", err
	}
	if s.Head.Sequence == 0 {
		return "", trace.NotFound("no bundle is in force in deployment %q yet", r.operator.Deployment)
	}
	return s.Head.Digest, nil
}

// digestArgument returns the full digest for the command's first argument.
func (r invocation) digestArgument(ctx context.Context) (pabundle.Digest, error) {
	return r.expandDigest(ctx, r.command.Args().First())
}

// expandDigest returns the full digest for an abbreviated one, which must match exactly one version.
func (r invocation) expandDigest(ctx context.Context, given string) (pabundle.Digest, error) {
	if d := pabundle.Digest(given); d.Valid() {
		return d, nil
	}
	if len(given) < minDigestPrefix {
		return "", trace.BadParameter("%q given, want a digest, or at least its first %d digits", given, minDigestPrefix)
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
		return "", trace.NotFound("no version has a digest that begins with %q; list the versions with: bundle status", given)
	case 1:
		return found[0], nil
	default:
		return "", trace.BadParameter("%d versions have digests that begin with %q; give more digits", len(found), given)
	}
}
