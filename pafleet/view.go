package pafleet

import (
	"time"

	"papayahead/paroute"
)

// LapseGrace is how long after the end of a store outage a target whose lease lapsed meanwhile may take to register again.
// The platform promises about two seconds; the rest allows for one more read of the store.
const LapseGrace = 2500 * time.Millisecond

// TargetState is the state of a target as an entry VM knows it.
type TargetState struct {
	Target
	// ColdUntil is the end of the target's warm-up.
	ColdUntil time.Time
	// LapsedAt is when the target's key was found missing after a store outage, or zero. A lapsed target is used until
	// LapseGrace has passed.
	LapsedAt time.Time
	// LapseRevision is the store revision of that removal; of several, that of the latest.
	LapseRevision Revision
	// ChangeRevision is the revision of the latest update that was more than a heartbeat.
	ChangeRevision Revision
}

// View is an entry VM's view of the deployment. The zero value is empty and ready for use.
type View struct {
	// Revision is the store revision up to which the view is complete.
	Revision       Revision
	Config         *paroute.Config
	ConfigRevision Revision
	Targets        map[string]*TargetState
	Entries        map[string]Entry
	// Evacuated holds the revisions at which the evacuated zones were evacuated, by zone.
	Evacuated map[string]Revision
	// RestoredAt holds the times at which evacuations ended, by zone.
	RestoredAt map[string]time.Time
	// Limiter is the entry VM that holds the token pools of the rate limits, as of LimiterRevision; empty if there is none.
	Limiter         string
	LimiterRevision Revision

	// OutageUntil is the time until which a missing key may mean that a lease lapsed during a store outage, not that the
	// target is gone.
	OutageUntil time.Time

	// operatorRevision is the revision up to which all that operators wrote is known, if that is after Revision.
	operatorRevision Revision
	zoneRevisions    map[string]Revision
	history          history
}

func (v *View) init() {
	if v.Targets != nil {
		return
	}
	v.Targets = map[string]*TargetState{}
	v.Entries = map[string]Entry{}
	v.Evacuated = map[string]Revision{}
	v.RestoredAt = map[string]time.Time{}
	v.zoneRevisions = map[string]Revision{}
	v.history.targets = map[string]tombstone{}
	v.history.entries = map[string]tombstone{}
}

// Apply applies one change and reports whether anything but a target's sequence changed. It ignores a change whose revision
// is not after View.Revision: such a change arrives late and may have been reverted since.
func (v *View) Apply(c Change, now time.Time) bool {
	v.init()
	if r := c.revision(); r > 0 && r <= v.Revision {
		return false
	}
	return v.apply(c, now)
}

// apply applies a change of any revision, unless it is an operator's and may have been reverted since.
func (v *View) apply(c Change, now time.Time) bool {
	if r := c.revision(); isByOperator(c) && r > 0 && r <= v.operatorRevision {
		return false
	}
	switch c := c.(type) {
	case ConfigUpdated:
		return v.applyConfig(c)
	case TargetUpdated:
		return v.applyTarget(c.Target, now)
	case TargetRemoved:
		return v.applyTargetRemoved(c, now)
	case ZoneEvacuated:
		return v.applyZone(c.Zone, c.Revision, true, now)
	case ZoneRestored:
		return v.applyZone(c.Zone, c.Revision, false, now)
	case EntryUpdated:
		return v.applyEntry(c.Entry)
	case EntryRemoved:
		return v.applyEntryRemoved(c, now)
	case LimiterUpdated:
		return v.applyLimiter(c)
	}
	return false
}

func (v *View) applyLimiter(c LimiterUpdated) bool {
	if c.Revision <= v.LimiterRevision {
		return false
	}
	changed := v.Limiter != c.Name
	v.Limiter, v.LimiterRevision = c.Name, c.Revision
	return changed
}

// applyConfig accepts a configuration only if its version is higher than that of the one in force, so that one that arrives
// late never replaces a newer one.
func (v *View) applyConfig(c ConfigUpdated) bool {
	if v.Config != nil && c.Config.Version <= v.Config.Version {
		return false
	}
	v.Config, v.ConfigRevision = c.Config, c.Revision
	return true
}

func (v *View) applyTarget(t Target, now time.Time) bool {
	if ts, ok := v.history.targets[t.ID]; ok && ts.covers(&t) {
		return false
	}
	m := v.Targets[t.ID]
	if m == nil {
		m = &TargetState{Target: t, ColdUntil: now.Add(t.ColdLeft), ChangeRevision: t.Revision}
		v.Targets[t.ID] = m
		return true
	}
	if !t.Newer(&m.Target) {
		return false
	}
	restarted := t.Born != m.Born
	// Once a target reports that it is draining, it stays so for this lifetime.
	t.Draining = t.Draining || !restarted && m.Draining
	changed := restarted || !m.LapsedAt.IsZero() || t.differs(&m.Target)
	m.Target = t
	m.LapsedAt = time.Time{}
	if until := now.Add(t.ColdLeft); t.ColdLeft > 0 || restarted {
		changed = changed || until.Sub(m.ColdUntil) > time.Second
		m.ColdUntil = until
	}
	if changed {
		m.ChangeRevision = t.Revision
	}
	return changed
}

func (v *View) applyTargetRemoved(c TargetRemoved, now time.Time) bool {
	m := v.Targets[c.ID]
	if m == nil {
		// A neighbour that syncs from this view may still hold the target.
		addTombstone(v.history.targets, c.ID, tombstone{revision: c.Revision, at: now})
		return false
	}
	if m.Revision >= c.Revision {
		// The target registered again after this removal. Neighbours that removed it must get it again.
		m.ChangeRevision = max(m.ChangeRevision, m.Revision)
		return false
	}
	if now.Before(v.OutageUntil) && !m.Draining {
		if m.LapsedAt.IsZero() {
			m.LapsedAt = now
		}
		m.LapseRevision = c.Revision
		return false
	}
	v.removeTarget(m, c.Revision, now)
	return true
}

func (v *View) removeTarget(m *TargetState, r Revision, now time.Time) {
	addTombstone(v.history.targets, m.ID, tombstone{born: m.Born, sequence: m.Sequence, revision: r, at: now})
	delete(v.Targets, m.ID)
}

func (v *View) applyZone(zone string, r Revision, evacuated bool, now time.Time) bool {
	if r <= v.zoneRevisions[zone] {
		return false
	}
	v.zoneRevisions[zone] = r
	_, wasEvacuated := v.Evacuated[zone]
	if evacuated {
		v.Evacuated[zone] = r
		return !wasEvacuated
	}
	if wasEvacuated {
		delete(v.Evacuated, zone)
		v.RestoredAt[zone] = now
	}
	return wasEvacuated
}

func (v *View) applyEntry(e Entry) bool {
	old, ok := v.Entries[e.Name]
	if ok && old.Revision >= e.Revision || v.history.entries[e.Name].revision >= e.Revision {
		return false
	}
	v.Entries[e.Name] = e
	return !ok || old.Born != e.Born || old.Front != e.Front
}

func (v *View) applyEntryRemoved(c EntryRemoved, now time.Time) bool {
	e, ok := v.Entries[c.Name]
	if ok && e.Revision >= c.Revision {
		return false
	}
	addTombstone(v.history.entries, c.Name, tombstone{revision: c.Revision, at: now})
	delete(v.Entries, c.Name)
	return ok
}

// ApplyRange applies all changes of the store after revision since and up to revision to, and reports whether anything
// but a target's sequence changed. If since is after View.Revision, there is a gap: the changes are applied, but
// View.Revision stays.
func (v *View) ApplyRange(all []Change, since, to Revision, now time.Time) bool {
	changed := false
	for _, c := range all {
		changed = v.Apply(c, now) || changed
	}
	if since <= v.Revision {
		v.Revision = max(v.Revision, to)
	}
	return changed
}

// ApplyListing applies a complete listing of the store at a revision and reports whether anything but a target's sequence
// changed. Targets, entry VMs, evacuations and a limiter that the listing lacks were removed. A listing older than the view
// is ignored.
func (v *View) ApplyListing(all []Change, r Revision, now time.Time) bool {
	v.init()
	if r < v.Revision {
		return false
	}
	changed := false
	targets, entries, zones := map[string]bool{}, map[string]bool{}, map[string]bool{}
	limiter := false
	for _, c := range all {
		changed = v.apply(c, now) || changed
		switch c := c.(type) {
		case LimiterUpdated:
			limiter = c.Name != ""
		case TargetUpdated:
			targets[c.Target.ID] = true
		case EntryUpdated:
			entries[c.Entry.Name] = true
		case ZoneEvacuated:
			zones[c.Zone] = true
		}
	}
	for id := range v.Targets {
		if !targets[id] {
			changed = v.apply(TargetRemoved{ID: id, Revision: r}, now) || changed
		}
	}
	for name := range v.Entries {
		if !entries[name] {
			changed = v.apply(EntryRemoved{Name: name, Revision: r}, now) || changed
		}
	}
	for zone := range v.Evacuated {
		if !zones[zone] {
			changed = v.apply(ZoneRestored{Zone: zone, Revision: r}, now) || changed
		}
	}
	if !limiter && v.Limiter != "" {
		changed = v.apply(LimiterUpdated{Revision: r}, now) || changed
	}
	v.history.addSkipped(RevisionRange{After: v.Revision, To: r})
	v.Revision = r
	return changed
}

// NoteOutage records that the store did not answer at this time.
func (v *View) NoteOutage(now time.Time) { v.OutageUntil = now.Add(LapseGrace) }

// ExpireLapsed removes lapsed targets that did not register again in time, and tombstones that are too old. It reports
// whether a target was removed.
func (v *View) ExpireLapsed(now time.Time) bool {
	changed := false
	for _, m := range v.Targets {
		if !m.LapsedAt.IsZero() && now.After(v.OutageUntil) {
			v.removeTarget(m, m.LapseRevision, now)
			changed = true
		}
	}
	v.history.expire(now)
	return changed
}
