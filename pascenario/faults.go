package pascenario

import (
	"context"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"

	"papayahead/paplatform"
)

func (w *World) platformCall(method, path string, in any) error {
	return w.call(context.Background(), method, "http://"+w.deployment.Platform()+path, in, nil)
}

// lostReplies is how many replies a script's "store lostreply" loses.
const lostReplies = 1

func storeFault(w *World, _ *testscript.TestScript, a []string) error {
	if err := want(a, 1, "outage, slow=TIME, lostreply or heal"); err != nil {
		return err
	}
	kind, value, _ := strings.Cut(a[0], "=")
	switch kind {
	case "outage":
		return w.platformCall("POST", "/Faults", paplatform.Injection{Effect: paplatform.Outage})
	case "slow":
		d, err := time.ParseDuration(value)
		if err != nil {
			return trace.BadParameter("slow=%q: want a time", value)
		}
		return w.platformCall("POST", "/Faults", paplatform.DelayAll(d))
	case "lostreply":
		return w.platformCall("POST", "/Faults", paplatform.Injection{
			Operation: paplatform.OperationCompareAndSwap, Prefix: paplatform.Key(value),
			Effect: paplatform.LostAfter, Times: lostReplies,
		})
	case "heal":
		return w.platformCall("DELETE", "/Faults", nil)
	default:
		return trace.BadParameter("store %q: want outage, slow=TIME, lostreply or heal", a[0])
	}
}

func listFault(w *World, _ *testscript.TestScript, a []string) error {
	if err := want(a, 1, "lag=TIME, outage or heal"); err != nil {
		return err
	}
	kind, value, _ := strings.Cut(a[0], "=")
	f := paplatform.VMListFault{Outage: kind == "outage"}
	if kind == "lag" {
		d, err := time.ParseDuration(value)
		if err != nil {
			return trace.BadParameter("lag=%q: want a time", value)
		}
		f.Lag.Duration = d
	}
	return w.platformCall("POST", "/MachineFaults", f)
}

func targetFault(w *World, _ *testscript.TestScript, a []string) error {
	if err := want(a, 2, "NAME FAULT"); err != nil {
		return err
	}
	t, err := w.deployment.Target(a[0])
	if err != nil {
		return err
	}
	if a[1] == "listed" || a[1] == "drain" {
		w.drained[a[0]] = time.Now()
	}
	if a[1] == "listed" {
		return w.platformCall("POST", "/Machines/"+a[0], paplatform.VMChange{State: paplatform.Leaving})
	}
	f, err := faultsOf(a[1:])
	if err != nil {
		return err
	}
	return w.TargetFault(context.Background(), t, f)
}
