package pascenario

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"
)

// within reads "within=TIME".
func within(text string) (time.Duration, error) {
	v, ok := strings.CutPrefix(text, "within=")
	d, err := time.ParseDuration(v)
	if !ok || err != nil {
		return 0, trace.BadParameter("%q: want within=TIME", text)
	}
	return d, nil
}

func gone(w *World, ts *testscript.TestScript, a []string) error {
	if err := want(a, 2, "ENTRY within=TIME"); err != nil {
		return err
	}
	limit, err := within(a[1])
	if err != nil {
		return err
	}
	p, err := w.Process(a[0])
	if err != nil {
		return err
	}
	began := time.Now()
	select {
	case <-p.Done():
	case <-time.After(limit):
		return trace.LimitExceeded("%s still runs after %s", a[0], limit)
	}
	ts.Logf("%s ended after %s with code %d", a[0], time.Since(began).Round(time.Millisecond), p.ExitCode())
	if p.ExitCode() != 0 {
		return trace.BadParameter("%s ended with code %d", a[0], p.ExitCode())
	}
	return nil
}

func unlisted(w *World, ts *testscript.TestScript, a []string) error {
	return w.awaitLookUps(ts, a, func(names []string) bool { return !slices.Contains(names, a[0]) })
}

func demoted(w *World, ts *testscript.TestScript, a []string) error {
	return w.awaitLookUps(ts, a, func(names []string) bool { return len(names) > 0 && names[0] != a[0] })
}

// lookUpCallers is how many callers' answers are looked at: enough that each entry VM is some
// caller's first.
const lookUpCallers = 8

// awaitLookUps waits until the answers of all other entry VMs, for several callers, are as wanted.
func (w *World) awaitLookUps(ts *testscript.TestScript, a []string, right func(names []string) bool) error {
	if err := want(a, 3, "ENTRY SERVICE within=TIME"); err != nil {
		return err
	}
	limit, err := within(a[2])
	if err != nil {
		return err
	}
	began := time.Now()
	err = w.await(context.Background(), limit, "look-ups without "+a[0], func(ctx context.Context) error {
		for _, e := range w.deployment.Entries {
			if p, err := w.Process(string(e.Name)); err != nil || ended(p) {
				continue
			}
			for n := range lookUpCallers {
				names, err := w.LookUp(ctx, e, a[1], w.deployment.ip(callerNet+1, byte(n)))
				if err != nil {
					return err
				}
				if string(e.Name) != a[0] && !right(names) {
					return trace.AlreadyExists("%s answers %v", e.Name, names)
				}
			}
		}
		return nil
	})
	ts.Logf("look-ups without %s after %s", a[0], time.Since(began).Round(time.Millisecond))
	return err
}

func ended(p Process) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}
