package pamember

import (
	"github.com/gravitational/trace"
)

// Check returns an error if a message passes a bound or lacks what every message has.
func (v Message) Check() error {
	if v.Kind < Ping || v.Kind > SyncRecords {
		return trace.BadParameter("message kind %d, want %d to %d", v.Kind, Ping, SyncRecords)
	}
	if err := v.From.check(); err != nil {
		return trace.Wrap(err, "sender")
	}
	if len(v.Subject) > maxNameBytes || len(v.Config.Digest) > maxNameBytes {
		return trace.BadParameter("message from %s: subject or digest longer than %d bytes", v.From.Name, maxNameBytes)
	}
	// Member.send may prepend the receiver's own record to a full message.
	if len(v.Records) > maxSyncRecords+1 || len(v.LoadReports) > maxReports {
		return trace.BadParameter("message from %s: %d records and %d load reports, want at most %d and %d",
			v.From.Name, len(v.Records), len(v.LoadReports), maxSyncRecords+1, maxReports)
	}
	if max(len(v.Heartbeats), len(v.Contacts), len(v.Digests), len(v.WantedGroups)) > maxGroups {
		return trace.BadParameter("message from %s: more than %d groups", v.From.Name, maxGroups)
	}
	for _, r := range v.Records {
		if err := r.check(); err != nil {
			return trace.Wrap(err, "record in a message from %s", v.From.Name)
		}
	}
	for _, f := range v.LoadReports {
		if len(f.Name) > maxNameBytes || len(f.Report.Free) > MaxServices || len(f.Report.Slots) > MaxServices ||
			len(f.Report.Waiting) > MaxServices {
			return trace.BadParameter("load report in a message from %s: its name or a list of services is too long", v.From.Name)
		}
	}
	return nil
}

func (r Record) check() error {
	if r.State > Left || len(r.Accuser) > maxNameBytes {
		return trace.BadParameter("record of %s: invalid state %d or accuser name too long", r.Name, r.State)
	}
	return checkIdentity(r.Identity)
}
