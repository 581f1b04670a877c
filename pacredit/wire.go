package pacredit

import (
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pawire"
)

// maxNameLength is the longest name in a message, in bytes.
const maxNameLength = 255

// Wire encodes the Ask.
func (a Ask) Wire() *pawire.CreditAsk {
	return &pawire.CreditAsk{
		Source: string(a.Source.Name), SourceIncarnation: a.Source.Incarnation, Sequence: a.Sequence, Items: itemsToWire(a.Items),
	}
}

// Wire encodes the grant.
func (g Grant) Wire() *pawire.CreditGrant {
	return &pawire.CreditGrant{
		Granter: string(g.Granter.Name), GranterIncarnation: g.Granter.Incarnation,
		Source: string(g.Source.Name), SourceIncarnation: g.Source.Incarnation, Sequence: g.Sequence,
		Items: itemsToWire(g.Items), TermMilliseconds: uint32(g.Term.Milliseconds()),
	}
}

// Wire encodes the reference.
func (r CreditRef) Wire() *pawire.CreditRef {
	return &pawire.CreditRef{
		Source: string(r.Source.Name), SourceIncarnation: r.Source.Incarnation, GranterIncarnation: r.Granter,
		Sequence: r.Sequence, Service: string(r.Service), Index: uint32(r.Index),
	}
}

// AskFromWire decodes and validates a message. It returns trace.BadParameter if the message is invalid.
func AskFromWire(m *pawire.CreditAsk) (Ask, error) {
	read, err := itemsFromWire(m.GetItems())
	if err != nil {
		return Ask{}, trace.Wrap(err)
	}
	if err := checkName(m.GetSource()); err != nil {
		return Ask{}, trace.Wrap(err)
	}
	source := Identity{pabundle.EntryName(m.GetSource()), m.GetSourceIncarnation()}
	return Ask{Source: source, Sequence: m.GetSequence(), Items: read}, nil
}

// GrantFromWire decodes and validates a message. It returns trace.BadParameter if the message is invalid.
func GrantFromWire(m *pawire.CreditGrant) (Grant, error) {
	read, err := itemsFromWire(m.GetItems())
	if err != nil {
		return Grant{}, trace.Wrap(err)
	}
	if err := checkName(m.GetGranter()); err != nil {
		return Grant{}, trace.Wrap(err)
	}
	if err := checkName(m.GetSource()); err != nil {
		return Grant{}, trace.Wrap(err)
	}
	return Grant{
		Granter:  Identity{pabundle.EntryName(m.GetGranter()), m.GetGranterIncarnation()},
		Source:   Identity{pabundle.EntryName(m.GetSource()), m.GetSourceIncarnation()},
		Sequence: m.GetSequence(), Items: read,
		Term: min(Term, time.Duration(m.GetTermMilliseconds())*time.Millisecond),
	}, nil
}

// RefFromWire decodes and validates a message. It returns trace.BadParameter if the message is invalid.
func RefFromWire(m *pawire.CreditRef) (CreditRef, error) {
	if err := checkName(m.GetSource()); err != nil {
		return CreditRef{}, trace.Wrap(err)
	}
	if err := checkName(m.GetService()); err != nil {
		return CreditRef{}, trace.Wrap(err)
	}
	if m.GetIndex() >= maxBatch {
		return CreditRef{}, trace.BadParameter("credit: index %d is out of range, want less than %d", m.GetIndex(), maxBatch)
	}
	return CreditRef{
		Source:  Identity{pabundle.EntryName(m.GetSource()), m.GetSourceIncarnation()},
		Granter: m.GetGranterIncarnation(), Sequence: m.GetSequence(),
		Service: pabundle.ServiceName(m.GetService()), Index: int(m.GetIndex()),
	}, nil
}

func itemsToWire(in []Item) []*pawire.CreditItem {
	var out []*pawire.CreditItem
	for _, i := range in {
		out = append(out, &pawire.CreditItem{Service: string(i.Service), Count: uint32(max(0, i.Count))})
	}
	return out
}

func itemsFromWire(in []*pawire.CreditItem) ([]Item, error) {
	if len(in) > maxItems {
		return nil, trace.BadParameter("credit: message has %d items, want at most %d", len(in), maxItems)
	}
	var out []Item
	for _, i := range in {
		if err := checkName(i.GetService()); err != nil {
			return nil, trace.Wrap(err)
		}
		if i.GetCount() > maxBatch {
			return nil, trace.BadParameter("credit: item has %d credits, want at most %d", i.GetCount(), maxBatch)
		}
		out = append(out, Item{pabundle.ServiceName(i.GetService()), int(i.GetCount())})
	}
	return out, nil
}

func checkName(n string) error {
	if n == "" || len(n) > maxNameLength {
		return trace.BadParameter("credit: name has %d bytes, want 1 to %d", len(n), maxNameLength)
	}
	return nil
}
