package pafleet

import (
	"time"

	"papayahead/paroute"
)

// Delta is what one entry VM tells a neighbour of what changed in the store. Sequences of targets
// that say nothing else new are left out: they are most of all writes.
type Delta struct {
	Revision Revision
	// Since is the revision after which all changes are named.
	Since Revision `json:",omitempty"`
	// Skipped is a span of which only the outcome is named: who is complete up to a revision inside it needs a whole view.
	Skipped *RevisionRange `json:",omitempty"`
	// Whole says that what is not named is gone.
	Whole    bool
	Config   *paroute.Config `json:",omitempty"`
	ConfigAt Revision        `json:",omitempty"`
	Targets  []Target        `json:",omitempty"`
	Gone     []TargetRemoved `json:",omitempty"`
	// Zones holds evacuations and their ends.
	Zones   []ZoneState    `json:",omitempty"`
	Entries []Entry        `json:",omitempty"`
	Left    []EntryRemoved `json:",omitempty"`
	// Limiter is who keeps the pools of rate limits, where that changed.
	Limiter *LimiterUpdated `json:",omitempty"`
}

// ZoneState says whether a zone is evacuated.
type ZoneState struct {
	Zone      string
	Evacuated bool
	Revision  Revision
}

// CoversSince says whether every removal after a revision is known, so that Delta can name what changed since. All that is known
// can be told to who knows nothing, at revision 0.
func (v *View) CoversSince(since Revision) bool { return since == 0 || v.history.covers(since) }

// Delta returns what changed after a revision, nil where nothing did, and all that is known where the view does not cover it.
func (v *View) Delta(since Revision, now time.Time) *Delta {
	d := &Delta{Revision: v.Revision, Since: since, Whole: since == 0 || !v.CoversSince(since)}
	if d.Whole {
		since, d.Since = 0, 0
	}
	if v.Config != nil && v.ConfigRevision > since {
		d.Config, d.ConfigAt = v.Config, v.ConfigRevision
	}
	for _, m := range v.Targets {
		if !m.LapsedAt.IsZero() {
			// That the entry is gone is told at once: how long the target is used on, in case its entry
			// only lapsed, is for each entry VM to say by the outages that it saw itself.
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
	for zone, r := range v.zones {
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
		d.Gone = append(d.Gone, v.history.targetsGone(since)...)
		d.Left = v.entriesLeft(since)
	}
	if s := v.history.skipped; !d.Whole && s.To > since {
		d.Skipped = &s
	}
	if !d.Whole && d.Skipped == nil && d.Config == nil && d.Limiter == nil && len(d.Targets)+len(d.Gone)+len(d.Zones)+len(d.Entries)+len(d.Left) == 0 {
		return nil
	}
	return d
}

// entriesLeft returns the entry VMs that are not registered any more and were removed after a revision.
func (v *View) entriesLeft(since Revision) (all []EntryRemoved) {
	for name, g := range v.history.left {
		if _, back := v.Entries[name]; g.revision > since && !back {
			all = append(all, EntryRemoved{Name: name, Revision: g.revision})
		}
	}
	return all
}

// Merge takes a neighbour's delta and says whether anything is new.
func (v *View) Merge(d *Delta, now time.Time) bool {
	var all []Change
	if d.Config != nil {
		all = append(all, ConfigUpdated{Revision: d.ConfigAt, Config: d.Config})
	}
	for _, t := range d.Targets {
		all = append(all, TargetUpdated{Target: t})
	}
	for _, g := range d.Gone {
		all = append(all, g)
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
	for _, l := range d.Left {
		all = append(all, l)
	}
	if d.Limiter != nil {
		all = append(all, *d.Limiter)
	}
	if d.Whole {
		return v.ApplyListing(all, d.Revision, now)
	}
	if s := d.Skipped; s != nil {
		if s.inside(v.Revision) {
			return false
		}
		v.init()
		v.history.skip(RevisionRange{After: max(s.After, v.Revision), To: s.To})
	}
	return v.ApplyRange(all, d.Since, d.Revision, now)
}
