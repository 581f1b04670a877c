package pamember

import (
	"github.com/gravitational/trace"
)

// Check returns an error if a message passes a bound or lacks what every message has.
func (v Message) Check() error {
	if v.Kind < Ping || v.Kind > SyncRecords {
		return trace.BadParameter("message kind %d: want %d to %d", v.Kind, Ping, SyncRecords)
	}
	if err := v.From.check(); err != nil {
		return trace.Wrap(err, "sender")
	}
	if len(v.Subject) > maxNameBytes || len(v.Config.Digest) > maxNameBytes {
		return trace.BadParameter("message of %s: a name of more than %d bytes", v.From.Name, maxNameBytes)
	}
	// A member's record may be put in front of a full message.
	if len(v.Records) > maxSyncRecords+1 || len(v.LoadReports) > maxFacts {
		return trace.BadParameter("message of %s: %d records, %d facts: want at most %d, %d", v.From.Name, len(v.Records), len(v.LoadReports), maxSyncRecords+1, maxFacts)
	}
	if max(len(v.Heartbeats), len(v.Contacts), len(v.Digests), len(v.WantedGroups)) > maxGroups {
		return trace.BadParameter("message of %s: more than %d groups", v.From.Name, maxGroups)
	}
	for _, r := range v.Records {
		if err := r.check(); err != nil {
			return trace.Wrap(err, "record in a message of %s", v.From.Name)
		}
	}
	for _, f := range v.LoadReports {
		if len(f.Name) > maxNameBytes || len(f.Report.Free) > MaxServices || len(f.Report.Slots) > MaxServices || len(f.Report.Waiting) > MaxServices {
			return trace.BadParameter("facts in a message of %s: too long", v.From.Name)
		}
	}
	return nil
}

func (r Record) check() error {
	if r.State > Left || len(r.Accuser) > maxNameBytes {
		return trace.BadParameter("record of %s: state %d", r.Name, r.State)
	}
	return checkIdentity(r.Identity)
}
