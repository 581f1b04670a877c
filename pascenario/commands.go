package pascenario

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"

	"papayahead/pabundle"
	"papayahead/paledger"
	"papayahead/pastand"
)

// worldKey is where a script's environment keeps its World.
type worldKey struct{}

// Setup gives a script its World.
func Setup(e *testscript.Env, w *World) {
	e.Values[worldKey{}] = w
	e.Defer(w.Close)
}

// Commands is the language: the commands that scripts have beside testscript's own.
//
//	deploy EXAMPLE [CHANGE...]          start all of a deployment and roll its bundle out
//	load NAME KEY=VALUE...              start callers; region=N and the flags of papayastand callers
//	expect NAME CONDITION...            wait for a load's end and check its report
//	report NAME                         print a load's report
//	summary NAME                        print the day's tables; fail if a promise was broken
//	shutdown|crash|freeze|thaw|start ENTRY   SIGTERM, SIGKILL, SIGSTOP, SIGCONT, a new start
//	gone ENTRY within=TIME              wait until a stopped process has ended
//	unlisted ENTRY SERVICE within=TIME  wait until no other entry VM names it in look-ups
//	demoted ENTRY SERVICE within=TIME   wait until no other entry VM names it first
//	cut|heal ZONE ZONE [oneway]         cut zones from each other; "platform" and "callers" are zones
//	silence ZONE ZONE                   make the connections that now stand silent for good
//	store outage|slow=TIME|lostreply=KEY|heal
//	list lag=TIME|outage|heal           faults of the VM list
//	target NAME drain|listed|lie|silent|slow|failing|closing|dropping|late|heal
//	roll CHANGE...                      change the bundle and take it into force
//	again ENTRY                         start it anew if it does not run; kill it first if it is stuck in its shutdown
//	tryroll CHANGE...                   as roll, but the store may be in no state for it
//	rollback                            roll the bundle before back in
//	inforce SEQUENCE within=TIME [ENTRY...]
//	links FROM TO peak<=PERCENT%        what crossed a link at its peak, in % of its capacity
//	shares LOAD SERVICE REGION cap=SHARE/WINDOW [end>=SHARE] [peak>=SHARE]   what the region ran of a load, by the targets' logs
//	worked TARGET...                    fail if one of them has run nothing yet
//	pause TIME
//	settled                             wait until keepers take keys sent from now on for new ones
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range map[string]func(*World, *testscript.TestScript, []string) error{
		"deploy": deploy, "load": startLoad, "expect": expect, "report": printReport,
		"gone": gone, "unlisted": unlisted, "demoted": demoted, "cut": cutZones, "heal": healZones, "silence": silence,
		"store": storeFault, "list": listFault, "target": targetFault, "roll": roll, "rollback": rollBack,
		"inforce": inForce, "links": links, "shares": shares, "worked": worked, "pause": pause, "summary": summary, "settled": settled,
		"shutdown": signal(Process.Terminate), "crash": signal(Process.Kill),
		"freeze": signal(Process.Freeze), "thaw": signal(Process.Thaw), "start": startAgain, "again": again, "tryroll": tryRoll,
	} {
		all[name] = func(ts *testscript.TestScript, negated bool, arguments []string) {
			w := ts.Value(worldKey{}).(*World)
			err := f(w, ts, arguments)
			switch {
			case err != nil && !negated:
				ts.Fatalf("%s: %v", name, err)
			case err == nil && negated:
				ts.Fatalf("%s: succeeded, but should not have", name)
			}
		}
	}
	return all
}

func want(arguments []string, n int, usage string) error {
	if len(arguments) < n {
		return trace.BadParameter("want %s", usage)
	}
	return nil
}

func deploy(w *World, ts *testscript.TestScript, a []string) error {
	if err := want(a, 1, "EXAMPLE [CHANGE...]"); err != nil {
		return err
	}
	return w.Deploy(context.Background(), ts.Getenv("WORK"), a[0], func(b *pabundle.Bundle) error {
		for _, c := range a[1:] {
			if err := changeBundle(b, c); err != nil {
				return err
			}
		}
		return nil
	})
}

func startLoad(w *World, _ *testscript.TestScript, a []string) error {
	if err := want(a, 1, "NAME KEY=VALUE..."); err != nil {
		return err
	}
	region := 0
	var flags []string
	for _, x := range a[1:] {
		key, value, ok := strings.Cut(x, "=")
		if !ok {
			return trace.BadParameter("%q: want KEY=VALUE", x)
		}
		if key == "region" {
			n, err := strconv.Atoi(value)
			if err != nil {
				return trace.BadParameter("region %q: want a number", value)
			}
			region = n
			continue
		}
		flags = append(flags, "--"+key, value)
	}
	return w.StartLoad(a[0], region, flags)
}

func expect(w *World, ts *testscript.TestScript, a []string) error {
	if err := want(a, 2, "NAME CONDITION..."); err != nil {
		return err
	}
	r, err := w.Report(a[0])
	if err != nil {
		return err
	}
	w.logReport(ts, a[0], r)
	for _, c := range a[1:] {
		if err := Expect(r, c); err != nil {
			for _, l := range w.lostAttempts(a[0]) {
				ts.Logf("%s", l)
			}
			return err
		}
	}
	return nil
}

// logReport writes the figures into the script's log, where a failure shows them.
func (w *World) logReport(ts *testscript.TestScript, name string, r pastand.Report) {
	for _, s := range slices.Sorted(maps.Keys(r.Services)) {
		line, err := json.Marshal(r.Services[s])
		if err == nil {
			ts.Logf("%s %s %s", name, s, line)
		}
	}
	line, err := json.Marshal(r.Oracle)
	if err == nil {
		ts.Logf("%s oracle %s", name, line)
	}
	for _, x := range w.Reasons(context.Background()) {
		ts.Logf("%s", x)
	}
}

func printReport(w *World, ts *testscript.TestScript, a []string) error {
	if err := want(a, 1, "NAME"); err != nil {
		return err
	}
	r, err := w.Report(a[0])
	if err != nil {
		return err
	}
	w.logReport(ts, a[0], r)
	return nil
}

func summary(w *World, _ *testscript.TestScript, a []string) error {
	if err := want(a, 1, "NAME"); err != nil {
		return err
	}
	s, err := w.Summarise(context.Background(), a[0])
	if err != nil {
		return err
	}
	if err := s.Print(os.Stdout, w.deployment.Bundle); err != nil {
		return err
	}
	return s.PrintBroken(os.Stdout, w.deployment.Bundle)
}

func signal(f func(Process) error) func(*World, *testscript.TestScript, []string) error {
	return func(w *World, _ *testscript.TestScript, a []string) error {
		if err := want(a, 1, "PROCESS..."); err != nil {
			return err
		}
		for _, n := range a {
			p, err := w.Process(n)
			if err != nil {
				return err
			}
			if err := f(p); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	}
}

func startAgain(w *World, _ *testscript.TestScript, a []string) error {
	if err := want(a, 1, "ENTRY"); err != nil {
		return err
	}
	e, err := w.deployment.Entry(a[0])
	if err != nil {
		return err
	}
	if err := w.awaitEnd(a[0]); err != nil {
		return err
	}
	w.setHost(a[0], false)
	return w.start("papayahead", a[0], w.deployment.EntryArguments(e))
}

// again starts an entry VM anew whatever state it is in: a frozen or stopping one is killed first.
func again(w *World, ts *testscript.TestScript, a []string) error {
	if err := want(a, 1, "ENTRY"); err != nil {
		return err
	}
	p, err := w.Process(a[0])
	if err != nil {
		return err
	}
	if !ended(p) {
		// It may end by itself in the same moment.
		_ = p.Kill()
	}
	return startAgain(w, ts, a)
}

func roll(w *World, _ *testscript.TestScript, a []string) error {
	b := w.deployment.Bundle
	b.Services, b.Links = slices.Clone(b.Services), slices.Clone(b.Links)
	for _, c := range a {
		if err := changeBundle(&b, c); err != nil {
			return err
		}
	}
	return w.Roll(context.Background(), b)
}

// tryRoll rolls a bundle out if the store can take it now. An operator whose roll-out failed half way
// begins anew with the next bundle.
func tryRoll(w *World, ts *testscript.TestScript, a []string) error {
	if err := roll(w, ts, a); err != nil {
		ts.Logf("roll: %v", err)
	}
	return nil
}

func rollBack(w *World, _ *testscript.TestScript, _ []string) error {
	return w.RollBack(context.Background())
}

func inForce(w *World, ts *testscript.TestScript, a []string) error {
	if err := want(a, 2, "SEQUENCE within=TIME [ENTRY...]"); err != nil {
		return err
	}
	n, err := strconv.ParseUint(a[0], 10, 64)
	if err != nil {
		return trace.BadParameter("sequence %q: want a number", a[0])
	}
	limit, err := within(a[1])
	if err != nil {
		return err
	}
	names := a[2:]
	if len(names) == 0 {
		for _, e := range w.deployment.Entries {
			names = append(names, string(e.Name))
		}
	}
	took, err := w.InForce(context.Background(), pabundle.Sequence(n), limit, names)
	ts.Logf("sequence %d in force on %d entry VMs after %s", n, len(names), took.Round(time.Millisecond))
	return err
}

func links(w *World, ts *testscript.TestScript, a []string) error {
	if err := want(a, 3, "FROM TO peak<=PERCENT%"); err != nil {
		return err
	}
	limit, err := number(strings.TrimPrefix(a[2], "peak<="))
	if err != nil {
		return trace.BadParameter("%q: want peak<=PERCENT%%", a[2])
	}
	var all []pastand.LinkUse
	if err := w.call(context.Background(), "GET", "http://"+w.deployment.Wire()+"/Links", nil, &all); err != nil {
		return err
	}
	capacity := pabundle.BitRate(0)
	for _, l := range w.deployment.Bundle.Links {
		if string(l.From) == a[0] && string(l.To) == a[1] {
			capacity = l.Capacity
		}
	}
	if capacity == 0 {
		return trace.NotFound("no link from %s to %s", a[0], a[1])
	}
	for _, u := range all {
		if string(u.From) != a[0] || string(u.To) != a[1] {
			continue
		}
		peak := 100 * float64(u.Peak) / float64(capacity)
		ts.Logf("link %s to %s: %d bytes, peak %.1f %%", a[0], a[1], u.Bytes, peak)
		if peak > limit {
			return trace.LimitExceeded("peak of %s to %s is %.1f %% of the link", a[0], a[1], peak)
		}
	}
	return nil
}

// settled waits until a key that is first sent now is younger than every keeper's memory, whatever
// the clocks say.
func settled(_ *World, _ *testscript.TestScript, _ []string) error {
	time.Sleep(2*paledger.MaxClockSkew + time.Second)
	return nil
}

func pause(_ *World, _ *testscript.TestScript, a []string) error {
	if err := want(a, 1, "TIME"); err != nil {
		return err
	}
	d, err := time.ParseDuration(a[0])
	if err != nil {
		return trace.BadParameter("pause %q: want a time", a[0])
	}
	time.Sleep(d)
	return nil
}
