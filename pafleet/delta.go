package pafleet

import (
	"time"

	"papayahead/paroute"
)

// Delta is what an entry VM sends a neighbour about changes in the store. Plain heartbeats, which change nothing but a
// target's sequence number, are left out: they are most of all writes.
type Delta struct {
	// Revision is the revision up to which the sender's view is complete.
	Revision Revision
	// Since is the revision after which all changes are included.
	Since Revision `json:",omitempty"`
	// Skipped is a range of revisions of which only the net effect is included: keys that were created and removed within it
	// are missing. A receiver that is complete up to a revision inside it may hold such a key and needs a whole view.
	Skipped *RevisionRange `json:",omitempty"`
	// Whole is set when the delta holds the complete state: whatever it does not list no longer exists.
	Whole    bool
	Config   *paroute.Config `json:",omitempty"`
	ConfigAt Revision        `json:",omitempty"`
	Targets  []Target        `json:",omitempty"`
	Gone     []TargetRemoved `json:",omitempty"`
	// Zones holds zones whose evacuation began or ended.
	Zones   []ZoneState    `json:",omitempty"`
	Entries []Entry        `json:",omitempty"`
	Left    []EntryRemoved `json:",omitempty"`
	// Operator is the complete state of what operators wrote, but for the configuration, which stands in Config. A receiver may
	// know of an evacuation that began and ended within Skipped. Senders of an earlier version leave it out.
	Operator *OperatorState `json:",omitempty"`
	// Limiter is set if the entry VM that holds the token pools of the rate limits changed.
	Limiter *LimiterUpdated `json:",omitempty"`
}

// ZoneState tells whether a zone is evacuated, as of a revision.
type ZoneState struct {
	Zone      string
	Evacuated bool
	Revision  Revision
}

// CoversSince reports whether the view knows the removal of every key that a neighbour complete up to a revision may still
// hold, so that Delta can list all changes since. It is true for revision 0: a neighbour that knows nothing gets the whole
// view.
func (v *View) CoversSince(since Revision) bool { return since == 0 || v.history.completeSince(since) }

// Position is what a neighbour knows: everything up to Revision, and what operators wrote up to Operator, if that is later.
type Position struct{ Revision, Operator Revision }

// Delta returns what changed after a position, or nil if nothing did. It returns the whole view, but for a configuration that the
// neighbour has, for revision 0 and where CoversSince is false.
func (v *View) Delta(p Position, now time.Time) *Delta {
	since := p.Revision
	d := &Delta{Revision: v.Revision, Since: since, Whole: since == 0 || !v.CoversSince(since)}
	if d.Whole {
		since, d.Since = 0, 0
	}
	if v.Config != nil && v.ConfigRevision > max(since, p.Operator) {
		d.Config, d.ConfigAt = v.Config, v.ConfigRevision
	}
	for _, m := range v.Targets {
		if !m.LapsedAt.IsZero() {
			// The removal is passed on at once. Each entry VM decides by the store outages that it saw itself how long
			// it goes on using the target in case its lease only lapsed.
			if m.LapseRevision > since && !d.Whole {
				d.Gone = append(d.Gone, TargetRemoved{ID: m.ID, Revision: m.LapseRevision})
			}
			continue
		}
		if m.ChangeRevision > since {
			t := m.Target
			t.ColdLeft = max(0, m.ColdUntil.Sub(now))
			d.Targets = append(d.Targets, t)
		}
	}
	for zone, r := range v.zoneRevisions {
		if _, evacuated := v.Evacuated[zone]; r > since {
			d.Zones = append(d.Zones, ZoneState{Zone: zone, Evacuated: evacuated, Revision: r})
		}
	}
	for _, e := range v.Entries {
		if e.Revision > since {
			d.Entries = append(d.Entries, e)
		}
	}
	if v.LimiterRevision > since {
		d.Limiter = &LimiterUpdated{Name: v.Limiter, Revision: v.LimiterRevision}
	}
	if !d.Whole {
		d.Gone = append(d.Gone, v.history.removedTargets(since)...)
		d.Left = v.removedEntries(since)
	}
	if s := v.history.skipped; !d.Whole && s.To > since {
		d.Skipped = &s
	}
	if !d.Whole && d.Skipped == nil && d.Config == nil && d.Limiter == nil &&
		len(d.Targets)+len(d.Gone)+len(d.Zones)+len(d.Entries)+len(d.Left) == 0 {
		return nil
	}
	o := v.Operator(v.ConfigRevision)
	d.Operator = &o
	return d
}

// removedEntries returns the entry VMs that were removed after a revision and have not registered again.
func (v *View) removedEntries(since Revision) (all []EntryRemoved) {
	for name, ts := range v.history.entries {
		if _, registered := v.Entries[name]; ts.revision > since && !registered {
			all = append(all, EntryRemoved{Name: name, Revision: ts.revision})
		}
	}
	return all
}

// Merge applies a neighbour's delta and reports whether anything but a target's sequence changed. It ignores a delta whose
// skipped range contains the view's revision.
func (v *View) Merge(d *Delta, now time.Time) bool {
	var all []Change
	if d.Config != nil {
		all = append(all, ConfigUpdated{Revision: d.ConfigAt, Config: d.Config})
	}
	for _, t := range d.Targets {
		all = append(all, TargetUpdated{Target: t})
	}
	for _, r := range d.Gone {
		all = append(all, r)
	}
	for _, z := range d.Zones {
		if z.Evacuated {
			all = append(all, ZoneEvacuated{Zone: z.Zone, Revision: z.Revision})
		} else {
			all = append(all, ZoneRestored{Zone: z.Zone, Revision: z.Revision})
		}
	}
	for _, e := range d.Entries {
		all = append(all, EntryUpdated{Entry: e})
	}
	for _, r := range d.Left {
		all = append(all, r)
	}
	if d.Limiter != nil {
		all = append(all, *d.Limiter)
	}
	if s := d.Skipped; s != nil && !d.Whole {
		if s.contains(v.Revision) || d.Operator == nil && s.contains(v.OperatorRevision()) {
			return false
		}
		v.init()
		v.history.addSkipped(RevisionRange{After: max(s.After, v.Revision), To: s.To})
	}
	changed := false
	if d.Operator != nil {
		o := *d.Operator
		o.Config, o.ConfigRevision = d.Config, d.ConfigAt
		changed = v.ApplyOperator(o, now)
	}
	if d.Whole {
		return v.ApplyListing(all, d.Revision, now) || changed
	}
	return v.ApplyRange(all, d.Since, d.Revision, now) || changed
}
