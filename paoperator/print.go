package paoperator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/paroll"
)

// printer writes results as text or JSON.
type printer struct {
	out  io.Writer
	json bool
}

// CheckResult is the JSON result of the check command.
type CheckResult struct {
	Digest                           pabundle.Digest
	Deployment                       string
	Regions, Zones, Services, Blocks int
	Targets                          int
}

// ReviewResult is the JSON result of the review command.
type ReviewResult struct {
	Version paroll.Version
	// Changes lists the differences between the head in force and the version.
	Changes []pabundle.Difference
}

// writeJSON prints a value as indented JSON.
func (p printer) writeJSON(v any) error {
	e := json.NewEncoder(p.out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(v))
}

func (p printer) writeLines(lines ...string) error {
	_, err := fmt.Fprintln(p.out, strings.Join(lines, "\n"))
	return trace.Wrap(err)
}

func (p printer) checkResult(b pabundle.Bundle, d pabundle.Digest) error {
	c := CheckResult{Digest: d, Deployment: b.Deployment, Regions: len(b.Regions), Services: len(b.Services), Blocks: len(b.ClientBlocks)}
	for _, r := range b.Regions {
		c.Zones += len(r.Zones)
	}
	for _, s := range b.Services {
		c.Targets += len(s.Targets)
	}
	if p.json {
		return p.writeJSON(c)
	}
	return p.writeLines("bundle is valid, digest "+string(d),
		fmt.Sprintf("%s: regions %d, zones %d, services %d, targets %d, client blocks %d", c.Deployment, c.Regions, c.Zones, c.Services, c.Targets, c.Blocks))
}

func (p printer) version(v paroll.Version, next string) error {
	if p.json {
		return p.writeJSON(v)
	}
	return p.writeLines(describe(v), "next: "+next)
}

func (p printer) reviewResult(v paroll.Version, changes []pabundle.Difference) error {
	if p.json {
		return p.writeJSON(ReviewResult{v, changes})
	}
	if err := p.differences(changes); err != nil {
		return err
	}
	return p.version(v, "if all of this is meant: bundle sign-off "+string(v.Digest))
}

func (p printer) rollResult(r paroll.Result) error {
	if p.json {
		return p.writeJSON(r)
	}
	if r.Outcome != paroll.Won && r.Outcome != paroll.AlreadyInForce {
		return nil
	}
	return p.writeLines(fmt.Sprintf("%s: sequence %d is %s, by %s", r.Outcome, r.Head.Sequence, r.Head.Digest, r.Head.Operator), "next: "+r.Advice)
}

func (p printer) status(s paroll.Status) error {
	if p.json {
		return p.writeJSON(s)
	}
	lines := []string{"no bundle is in force yet"}
	if h := s.Head; h.Sequence > 0 {
		lines[0] = fmt.Sprintf("in force: sequence %d, %s, by %s at %s", h.Sequence, h.Digest, h.Operator, h.RolledAt.Format(time.RFC3339))
	}
	for _, v := range s.Versions {
		lines = append(lines, describe(v))
	}
	return p.writeLines(lines...)
}

func (p printer) differences(ds []pabundle.Difference) error {
	if p.json {
		return p.writeJSON(ds)
	}
	if len(ds) == 0 {
		return p.writeLines("no difference")
	}
	for _, d := range ds {
		if err := p.writeLines(d.String()); err != nil {
			return err
		}
	}
	return nil
}

// describe formats a version and its history as one line.
func describe(v paroll.Version) string {
	line := fmt.Sprintf("%s %s, proposed by %s at %s", v.Digest, v.State, v.Proposer, v.ProposedAt.Format(time.RFC3339))
	for _, r := range v.Reviews {
		line += ", reviewed by " + r.Operator
	}
	if v.SignOff != nil {
		line += fmt.Sprintf(", signed off by %s against sequence %d", v.SignOff.Operator, v.SignOff.After)
	}
	for _, r := range v.Rolls {
		line += fmt.Sprintf(", in force as %d", r.Sequence)
	}
	if v.Comment != "" {
		line += ": " + v.Comment
	}
	return line
}
