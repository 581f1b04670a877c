package pasteer

import (
	"reflect"
	"strings"

	"github.com/gravitational/trace"
)

// Off switches mechanisms off, to measure what each is worth. The zero value is the product's behaviour.
type Off struct {
	// FurtherHomes leaves an object only the first target of its ranking to run cold at.
	FurtherHomes bool
	// WarmWait lets an object run cold anywhere that seems quicker than waiting where it is warm.
	WarmWait bool
	// Notes ignores what neighbours tell of warm objects, KeptNotes what the store kept of them.
	Notes, KeptNotes bool
	// Newcomers gives targets that joined no first request.
	Newcomers bool
	// ColdShares sends cold targets as much as others.
	ColdShares bool
	// ShiftBound lets any part of a region's requests change their region at once.
	ShiftBound bool
	// StandingQueues lets queues that do not empty take all that can be answered at all.
	StandingQueues bool
	// RetryBudget does not bound further attempts, SecondSends makes none.
	RetryBudget, SecondSends bool
	// PressedRegions lets requests that may run elsewhere run in regions whose targets are behind.
	PressedRegions bool
	// GreyTargets and SilentTargets send to targets that fail part of their requests, or answer nothing, as to others.
	GreyTargets, SilentTargets bool
}

// ParseOff reads the names of mechanisms, separated by commas.
func ParseOff(names string) (Off, error) {
	var o Off
	v := reflect.ValueOf(&o).Elem()
	for name := range strings.SplitSeq(names, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		f := v.FieldByName(name)
		if !f.IsValid() {
			return Off{}, trace.BadParameter("no mechanism %q; there are %s", name, strings.Join(Mechanisms(), ", "))
		}
		f.SetBool(true)
	}
	return o, nil
}

// Mechanisms returns the names that ParseOff takes.
func Mechanisms() []string {
	t := reflect.TypeOf(Off{})
	var all []string
	for i := range t.NumField() {
		all = append(all, t.Field(i).Name)
	}
	return all
}
