package paoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"papayahead/paplatform"
	"papayahead/paroll"
)

const exampleFile = "../examples/kartuli.json"

// noWaitClock is a clock whose After fires immediately, so that retries do not wait.
type noWaitClock struct{ clockwork.Clock }

func (noWaitClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

// terminal runs commands against one in-memory store.
type terminal struct {
	store *paplatform.MemoryStore
}

// run returns what a command printed, its error text and its exit code.
func (m terminal) run(operator string, arguments ...string) (string, string, ExitCode) {
	var out bytes.Buffer
	c := Commands{Clock: noWaitClock{clockwork.NewRealClock()}, Output: &out}
	c.Open = func(_ string, caller paplatform.Caller) paplatform.Store { return m.store.As(caller) }
	root := &cli.Command{
		Name: "papayahead", Writer: &out, ErrWriter: &out, Commands: []*cli.Command{c.Command()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	line := append([]string{"papayahead", "bundle", "--store", "http://127.0.0.1:7000", "--deployment", "kartuli", "--operator", operator}, arguments...)
	err := root.Run(context.Background(), line)
	if err == nil {
		return out.String(), "", Done
	}
	e, ok := err.(*ExitError)
	if !ok {
		return out.String(), err.Error(), -1
	}
	return out.String(), err.Error(), e.Code
}

func TestBundleLifecycle(t *testing.T) {
	g := NewWithT(t)
	m := terminal{&paplatform.MemoryStore{Clock: clockwork.NewRealClock()}}
	out, _, code := m.run("ana", "--output", "json", "propose", exampleFile)
	g.Expect(code).To(Equal(Done))
	var v paroll.Version
	g.Expect(json.Unmarshal([]byte(out), &v)).To(Succeed())
	short := string(v.Digest[:12])

	_, text, code := m.run("ana", "sign-off", short)
	g.Expect(code).To(Equal(Refused))
	g.Expect(text).To(ContainSubstring("by another operator"))
	out, _, code = m.run("beso", "review", "--note", "fine", short)
	g.Expect(code).To(Equal(Done))
	g.Expect(out).To(ContainSubstring("+ Services[billing]"))
	_, _, code = m.run("beso", "sign-off", short)
	g.Expect(code).To(Equal(Done))
	out, _, code = m.run("ana", "roll-out", short)
	g.Expect(code).To(Equal(Done))
	g.Expect(out).To(HavePrefix("Won: sequence 1"))
	out, _, _ = m.run("", "diff", "head", exampleFile)
	g.Expect(out).To(Equal("no difference\n"))

	changed := filepath.Join(t.TempDir(), "changed.json")
	data, err := os.ReadFile(exampleFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(changed, bytes.Replace(data, []byte(`"Reserve": 0.05`), []byte(`"Reserve": 0.06`), 1), 0o600)).To(Succeed())
	out, _, _ = m.run("", "diff", "head", changed)
	g.Expect(out).To(Equal("~ Policy.Reserve: 0.05 -> 0.06\n"))
	out, _, _ = m.run("beso", "--output", "json", "propose", changed)
	g.Expect(json.Unmarshal([]byte(out), &v)).To(Succeed())
	m.run("ana", "review", string(v.Digest))
	m.run("ana", "sign-off", string(v.Digest))
	_, text, code = m.run("ana", "roll-out", "--after", "0", string(v.Digest))
	g.Expect(code).To(Equal(LostRace))
	g.Expect(text).To(ContainSubstring("ana rolled out sequence 1 first"))

	m.store.Inject(paplatform.Injection{Operation: paplatform.OperationCompareAndSwap, Effect: paplatform.LostBefore})
	_, text, code = m.run("ana", "roll-out", string(v.Digest))
	g.Expect(code).To(Equal(OutcomeUnknown))
	g.Expect(text).To(ContainSubstring("repeat the same command"))
	m.store.ClearInjections()
	m.store.Inject(paplatform.Injection{Effect: paplatform.Outage})
	_, text, code = m.run("ana", "roll-out", string(v.Digest))
	g.Expect(code).To(Equal(StoreUnavailable))
	g.Expect(text).To(HaveSuffix("the head is unchanged; repeat the command when the store answers again"))
	m.store.ClearInjections()
	out, _, _ = m.run("ana", "roll-out", string(v.Digest))
	g.Expect(out).To(HavePrefix("Won: sequence 2"))
	out, _, _ = m.run("beso", "roll-back", short)
	g.Expect(out).To(HavePrefix("Won: sequence 3"))
	out, _, _ = m.run("", "status")
	g.Expect(out).To(HavePrefix("in force: sequence 3, " + short))
}

func TestInvalidSettingsAreAllReported(t *testing.T) {
	g := NewWithT(t)
	m := terminal{&paplatform.MemoryStore{Clock: clockwork.NewRealClock()}}
	_, text, code := m.run("", "--store", "store:7000", "--output", "xml", "--timeout", "0s", "propose")
	g.Expect(code).To(Equal(Refused))
	for _, want := range []string{"PAPAYAHEAD_STORE", "PAPAYAHEAD_OPERATOR", "PAPAYAHEAD_OUTPUT", "PAPAYAHEAD_TIMEOUT", "want 1: FILE"} {
		g.Expect(text).To(ContainSubstring(want))
	}
	bad := filepath.Join(t.TempDir(), "bad.json")
	g.Expect(os.WriteFile(bad, []byte("{\n \"Format\": 2,\n \"Fromat\": 1}"), 0o600)).To(Succeed())
	_, text, code = m.run("", "check", bad)
	g.Expect(code).To(Equal(InvalidBundle))
	g.Expect(strings.Split(text, "\n")).To(ContainElement(`2:12: Format: 2 given, want 1`))
	_, _, code = m.run("ana", "propose", bad)
	g.Expect(code).To(Equal(InvalidBundle))
	g.Expect(m.store.Counts().Total()).To(BeZero())
}
