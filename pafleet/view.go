package pafleet

import (
	"time"

	"papayahead/paroute"
)

// LapseGrace is how long after the store's return an entry that lapsed meanwhile may take to
// come back. Source: the platform's promise of about two seconds, and one reading.
const LapseGrace = 2500 * time.Millisecond

// TargetState is a target as an entry VM knows it.
type TargetState struct {
	Target
	// ColdUntil is when the target stops being cold.
	ColdUntil time.Time
	// LapsedAt is when the entry was found missing after an outage of the store; zero otherwise. A
	// lapsed target is used until LapseGrace has passed.
	LapsedAt time.Time
	// LapseRevision is the revision of the latest removal.
	LapseRevision Revision
	// ChangeRevision is the revision of the latest word that said more than that the target lives.
	ChangeRevision Revision
}

// View is everything known. The zero value knows nothing and is ready.
type View struct {
	// Revision is the store's revision that the view is complete up to.
	Revision       Revision
	Config         *paroute.Config
	ConfigRevision Revision
	Targets        map[string]*TargetState
	Entries        map[string]Entry
	Evacuated      map[string]Revision
	// RestoredAt says when the evacuation of a zone ended.
	RestoredAt map[string]time.Time
	// Limiter is the entry VM that keeps the pools of rate limits, as of LimiterAt; empty is none.
	Limiter         string
	LimiterRevision Revision

	// OutageUntil is the end of the time in which missing entries may be lapses rather than ends.
	OutageUntil time.Time

	zones   map[string]Revision
	history history
}

func (v *View) init() {
	if v.Targets != nil {
		return
	}
	v.Targets = map[string]*TargetState{}
	v.Entries = map[string]Entry{}
	v.Evacuated = map[string]Revision{}
	v.RestoredAt = map[string]time.Time{}
	v.zones = map[string]Revision{}
	v.history.gone = map[string]tombstone{}
	v.history.left = map[string]tombstone{}
}

// Apply takes one change and says whether anything but a target's sequence is new. A change that was written at or before
// the revision that the view is complete up to comes late, may have been undone since, and is not taken.
func (v *View) Apply(c Change, now time.Time) bool {
	v.init()
	if r := c.revision(); r > 0 && r <= v.Revision {
		return false
	}
	return v.apply(c, now)
}

// apply takes a change of whatever revision.
func (v *View) apply(c Change, now time.Time) bool {
	switch c := c.(type) {
	case ConfigUpdated:
		return v.applyConfig(c)
	case TargetUpdated:
		return v.applyTarget(c.Target, now)
	case TargetRemoved:
		return v.applyGone(c, now)
	case ZoneEvacuated:
		return v.applyZone(c.Zone, c.Revision, true, now)
	case ZoneRestored:
		return v.applyZone(c.Zone, c.Revision, false, now)
	case EntryUpdated:
		return v.applyEntry(c.Entry)
	case EntryRemoved:
		return v.applyEntryGone(c, now)
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

// applyConfig takes a version only if it is higher than the one in force: a version that had an
// effect once is never followed by an older one, however late that arrives.
func (v *View) applyConfig(c ConfigUpdated) bool {
	if v.Config != nil && c.Config.Version <= v.Config.Version {
		return false
	}
	v.Config, v.ConfigRevision = c.Config, c.Revision
	return true
}

func (v *View) applyTarget(t Target, now time.Time) bool {
	if g, ok := v.history.gone[t.ID]; ok && g.outlives(&t) {
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
	fresh := t.Born != m.Born
	// A target that said that it leaves stays leaving for this lifetime.
	t.Draining = t.Draining || !fresh && m.Draining
	changed := fresh || !m.LapsedAt.IsZero() || t.differs(&m.Target)
	m.Target = t
	m.LapsedAt = time.Time{}
	if until := now.Add(t.ColdLeft); t.ColdLeft > 0 || fresh {
		changed = changed || until.Sub(m.ColdUntil) > time.Second
		m.ColdUntil = until
	}
	if changed {
		m.ChangeRevision = t.Revision
	}
	return changed
}

func (v *View) applyGone(c TargetRemoved, now time.Time) bool {
	m := v.Targets[c.ID]
	if m == nil {
		// Those who ask may know it.
		remember(v.history.gone, c.ID, tombstone{revision: c.Revision, at: now})
		return false
	}
	if m.Revision >= c.Revision {
		// It registered again, which those who gave it up must hear.
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
	v.bury(m, c.Revision, now)
	return true
}

func (v *View) bury(m *TargetState, r Revision, now time.Time) {
	remember(v.history.gone, m.ID, tombstone{born: m.Born, sequence: m.Sequence, revision: r, at: now})
	delete(v.Targets, m.ID)
}

func (v *View) applyZone(zone string, r Revision, evacuated bool, now time.Time) bool {
	if r <= v.zones[zone] {
		return false
	}
	v.zones[zone] = r
	_, was := v.Evacuated[zone]
	if evacuated {
		v.Evacuated[zone] = r
		return !was
	}
	if was {
		delete(v.Evacuated, zone)
		v.RestoredAt[zone] = now
	}
	return was
}

func (v *View) applyEntry(e Entry) bool {
	old, ok := v.Entries[e.Name]
	if ok && old.Revision >= e.Revision || v.history.left[e.Name].revision >= e.Revision {
		return false
	}
	v.Entries[e.Name] = e
	return !ok || old.Born != e.Born || old.Front != e.Front
}

func (v *View) applyEntryGone(c EntryRemoved, now time.Time) bool {
	e, ok := v.Entries[c.Name]
	if ok && e.Revision >= c.Revision {
		return false
	}
	remember(v.history.left, c.Name, tombstone{revision: c.Revision, at: now})
	delete(v.Entries, c.Name)
	return ok
}

// ApplyRange takes all that changed in the store after a revision that the view is complete up to, and up to a later one.
// Of what begins later the changes are taken, but the view is complete up to no later revision than before.
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

// ApplyListing takes a complete listing of the store at a revision: what it does not name is gone.
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
	v.history.skip(RevisionRange{After: v.Revision, To: r})
	v.Revision = r
	return changed
}

// NoteOutage notes that the store did not answer at this moment.
func (v *View) NoteOutage(now time.Time) { v.OutageUntil = now.Add(LapseGrace) }

// ExpireLapsed takes lapsed targets that did not come back as gone, forgets old tombstones, and says
// whether a target went.
func (v *View) ExpireLapsed(now time.Time) bool {
	changed := false
	for _, m := range v.Targets {
		if !m.LapsedAt.IsZero() && now.After(v.OutageUntil) {
			v.bury(m, m.LapseRevision, now)
			changed = true
		}
	}
	v.history.forget(now)
	return changed
}
