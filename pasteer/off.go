package pasteer

import (
	"reflect"
	"strings"

	"github.com/gravitational/trace"
)

// Off disables mechanisms of the load balancing, to measure the effect of each. The zero value disables none.
type Off struct {
	// FurtherHomes limits an object to one home, the first target of its ranking, even if that is in another region.
	FurtherHomes bool
	// WarmWait lets an object run cold at any target that seems faster than waiting for a warm one.
	WarmWait bool
	// Notes ignores the notes of neighbours on warm objects, KeptNotes those in the store.
	Notes, KeptNotes bool
	// Newcomers sends no first request to targets that joined.
	Newcomers bool
	// ColdShares does not limit the request rate of cold targets.
	ColdShares bool
	// Limits ignores the limits that targets name.
	Limits bool
	// ShiftBound ignores Config.MaxShift.
	ShiftBound bool
	// MixBound lets the regions in which requests run change at any rate while callers crowd in.
	MixBound bool
	// StandingQueues lets standing queues take all requests that can be answered before their deadline.
	StandingQueues bool
	// RetryBudget ignores the retry budget, SecondSends allows no retries.
	RetryBudget, SecondSends bool
	// PressedRegions ignores the congestion of regions.
	PressedRegions bool
	// Relays hands no request to other entry VMs, and SteerAway names entry VMs that do so in look-ups like others.
	Relays, SteerAway bool
	// Senders has each entry VM send to all targets of contended services by itself.
	Senders bool
	// WaitingRoom sends requests to contended services at once, like others.
	WaitingRoom bool
	// GreyTargets treats targets that fail part of their requests like others, SilentTargets those that are unresponsive.
	GreyTargets, SilentTargets bool
}

// ParseOff parses a comma-separated list of mechanisms. It returns an error that names the known ones if a name is unknown.
func ParseOff(names string) (Off, error) {
	var o Off
	v := reflect.ValueOf(&o).Elem()
	for name := range strings.SplitSeq(names, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		f := v.FieldByName(name)
		if !f.IsValid() {
			return Off{}, trace.BadParameter("unknown mechanism %q, want one of %s", name, strings.Join(Mechanisms(), ", "))
		}
		f.SetBool(true)
	}
	return o, nil
}

// Mechanisms returns the names that ParseOff accepts.
func Mechanisms() []string {
	t := reflect.TypeOf(Off{})
	var all []string
	for i := range t.NumField() {
		all = append(all, t.Field(i).Name)
	}
	return all
}
