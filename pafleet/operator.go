package pafleet

import (
	"time"

	"papayahead/paroute"
)

// OperatorState is what operators wrote to the store: the configuration in force and the evacuated availability zones.
//
// It is small and spreads apart from the rest, which grows with the number of targets and takes longer to read.
type OperatorState struct {
	// Revision is the revision up to which the state is complete.
	Revision Revision
	// Config is left out for a receiver that has it.
	Config         *paroute.Config `json:",omitempty"`
	ConfigRevision Revision        `json:",omitempty"`
	// Evacuated holds the revisions at which the evacuated zones were evacuated, by zone.
	Evacuated map[string]Revision `json:",omitempty"`
	// Hops is the number of entry VMs by which the latest change came to the sender from the one that read it from the store.
	Hops int `json:",omitempty"`
}

// NewOperatorState returns the state that a complete listing of the operators' keys shows. Other changes are ignored.
func NewOperatorState(all []Change, r Revision) OperatorState {
	o := OperatorState{Revision: r, Evacuated: map[string]Revision{}}
	for _, c := range all {
		switch c := c.(type) {
		case ConfigUpdated:
			o.Config, o.ConfigRevision = c.Config, c.Revision
		case ZoneEvacuated:
			o.Evacuated[c.Zone] = c.Revision
		}
	}
	return o
}

// OperatorRevision returns the revision up to which the view holds all that operators wrote. It may be after Revision.
func (v *View) OperatorRevision() Revision { return max(v.Revision, v.operatorRevision) }

// OperatorChange returns the revision of the latest change by an operator that the view holds.
func (v *View) OperatorChange() Revision {
	latest := v.ConfigRevision
	for _, r := range v.zoneRevisions {
		latest = max(latest, r)
	}
	return latest
}

// Operator returns what operators wrote, without a configuration that a receiver complete up to a revision has.
func (v *View) Operator(since Revision) OperatorState {
	o := OperatorState{Revision: v.OperatorRevision(), Evacuated: map[string]Revision{}}
	if v.Config != nil && v.ConfigRevision > since {
		o.Config, o.ConfigRevision = v.Config, v.ConfigRevision
	}
	for zone, r := range v.Evacuated {
		o.Evacuated[zone] = r
	}
	return o
}

// ApplyOperator applies a complete state of what operators wrote and reports whether anything changed. A zone that it does
// not name was restored at or before its revision, unless the view knows of a later evacuation.
func (v *View) ApplyOperator(o OperatorState, now time.Time) bool {
	v.init()
	changed := false
	if o.Config != nil {
		changed = v.Apply(ConfigUpdated{Revision: o.ConfigRevision, Config: o.Config}, now)
	}
	for zone, r := range o.Evacuated {
		changed = v.Apply(ZoneEvacuated{Zone: zone, Revision: r}, now) || changed
	}
	for zone := range v.Evacuated {
		if _, ok := o.Evacuated[zone]; !ok {
			// Unlike a single change, what a complete state lacks is no late message.
			changed = v.apply(ZoneRestored{Zone: zone, Revision: o.Revision}, now) || changed
		}
	}
	v.operatorRevision = max(v.operatorRevision, o.Revision)
	return changed
}

// ApplyOperatorRange applies all changes by operators after revision since and up to revision to, and reports whether
// anything changed. If since is after OperatorRevision, there is a gap: the changes are applied, but OperatorRevision stays.
func (v *View) ApplyOperatorRange(all []Change, since, to Revision, now time.Time) bool {
	changed := false
	for _, c := range all {
		changed = v.Apply(c, now) || changed
	}
	if since <= v.OperatorRevision() {
		v.operatorRevision = max(v.operatorRevision, to)
	}
	return changed
}

// isByOperator reports whether a change is one of the operators'.
func isByOperator(c Change) bool {
	switch c.(type) {
	case ConfigUpdated, ZoneEvacuated, ZoneRestored:
		return true
	}
	return false
}
