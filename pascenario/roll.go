package pascenario

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"papayahead/pabundle"
	"papayahead/paplatform"
	"papayahead/paroll"
	"papayahead/platform"
)

// operator returns the commands of an operator, who reaches the platform past the Wire.
func (w *World) operator(name string) *paroll.Operator {
	clock := clockwork.NewRealClock()
	return &paroll.Operator{
		Name: name, Deployment: w.deployment.Bundle.Deployment, Clock: clock,
		Store: &platform.StoreClient{BaseURL: "http://" + w.deployment.Platform(), Caller: paplatform.Caller(name), Clock: clock},
	}
}

// Roll takes a bundle through its whole life cycle into force.
func (w *World) Roll(ctx context.Context, b pabundle.Bundle) error {
	author, reader := w.operator("ana"), w.operator("berta")
	v, err := author.Propose(ctx, b)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := reader.Review(ctx, v.Digest, ""); err != nil {
		return trace.Wrap(err)
	}
	if _, err := reader.SignOff(ctx, v.Digest); err != nil {
		return trace.Wrap(err)
	}
	r, err := author.RollOut(ctx, paroll.Request{Digest: v.Digest})
	if err != nil {
		return trace.Wrap(err)
	}
	if r.Outcome != paroll.Won {
		return trace.CompareFailed("roll-out ended as %s: %s", r.Outcome, r.Advice)
	}
	w.deployment.Bundle = b
	w.digests = append(w.digests, v.Digest)
	return nil
}

// RollBack brings the bundle before the present one into force again.
func (w *World) RollBack(ctx context.Context) error {
	if len(w.digests) < 2 {
		return trace.BadParameter("nothing to roll back to")
	}
	d := w.digests[len(w.digests)-2]
	r, err := w.operator("ana").RollBack(ctx, paroll.Request{Digest: d})
	if err != nil {
		return trace.Wrap(err)
	}
	if r.Outcome != paroll.Won {
		return trace.CompareFailed("roll-back ended as %s: %s", r.Outcome, r.Advice)
	}
	w.digests = append(w.digests, d)
	return nil
}

// InForce waits until all of the named entry VMs have at least a sequence in force, and returns how
// long it took.
func (w *World) InForce(ctx context.Context, s pabundle.Sequence, within time.Duration, names []string) (time.Duration, error) {
	began := time.Now()
	err := w.await(ctx, within, "sequence "+strconv.FormatUint(uint64(s), 10), func(ctx context.Context) error {
		for _, n := range names {
			e, err := w.deployment.Entry(n)
			if err != nil {
				return err
			}
			x, err := w.Status(ctx, e)
			if err != nil {
				return err
			}
			if x.Head.Sequence < s {
				return trace.NotFound("%s has sequence %d", n, x.Head.Sequence)
			}
		}
		return nil
	})
	return time.Since(began), err
}

// changeBundle applies a change in the words of a script: "comment=TEXT", "preference=Latency",
// "cap=SERVICE:SHARE/WINDOW", "share=SERVICE:FROM:TO:SHARE" (the rest stays in FROM).
func changeBundle(b *pabundle.Bundle, text string) error {
	key, value, ok := strings.Cut(text, "=")
	if !ok {
		return trace.BadParameter("change %q: want KEY=VALUE", text)
	}
	switch key {
	case "comment":
		b.Comment = value
	case "preference":
		b.Policy.First = pabundle.Preference(value)
	case "cap":
		return changeCap(b, value)
	case "share":
		return changeShare(b, value)
	case "link":
		return changeLinks(b, value)
	default:
		return trace.BadParameter("change %q: want comment, preference, cap, share or link", key)
	}
	return nil
}

func findService(b *pabundle.Bundle, name string) (*pabundle.Service, error) {
	for i := range b.Services {
		if string(b.Services[i].Name) == name {
			return &b.Services[i], nil
		}
	}
	return nil, trace.NotFound("no service %q", name)
}

func changeCap(b *pabundle.Bundle, value string) error {
	name, rest, _ := strings.Cut(value, ":")
	share, window, ok := strings.Cut(rest, "/")
	s, err := findService(b, name)
	if err != nil {
		return err
	}
	x, err := strconv.ParseFloat(share, 64)
	d, err2 := time.ParseDuration(window)
	if !ok || err != nil || err2 != nil {
		return trace.BadParameter("cap %q: want SERVICE:SHARE/WINDOW", value)
	}
	s.Shift = pabundle.ShiftCap{Share: x, Window: pabundle.Duration{Duration: d}}
	return nil
}

func changeShare(b *pabundle.Bundle, value string) error {
	f := strings.Split(value, ":")
	if len(f) != 4 {
		return trace.BadParameter("share %q: want SERVICE:FROM:TO:SHARE", value)
	}
	s, err := findService(b, f[0])
	if err != nil {
		return err
	}
	x, err := strconv.ParseFloat(f[3], 64)
	if err != nil {
		return trace.BadParameter("share %q: want a number from 0 to 1", f[3])
	}
	from, to := pabundle.RegionName(f[1]), pabundle.RegionName(f[2])
	var rest []pabundle.Share
	for _, y := range s.Shares {
		if y.From != from {
			rest = append(rest, y)
		}
	}
	if x < 1 {
		rest = append(rest, pabundle.Share{From: from, To: from, Share: 1 - x})
	}
	s.Shares = append(rest, pabundle.Share{From: from, To: to, Share: x})
	return nil
}

// changeLinks sets the capacity of all links, in Mbit/s.
func changeLinks(b *pabundle.Bundle, value string) error {
	x, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return trace.BadParameter("link %q: want Mbit/s", value)
	}
	for i := range b.Links {
		b.Links[i].Capacity = pabundle.BitRate(x * 1_000_000)
	}
	return nil
}
