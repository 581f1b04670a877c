package pasetting

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the settings table of docs/OPERATING.md")

const (
	operatingPage = "../docs/OPERATING.md"
	tableBegin    = "<!-- settings: written by go test ./pasetting -run OperatingPage -update -->\n"
	tableEnd      = "<!-- end of settings -->\n"
)

// settingsTable returns the settings table of the operators' page.
func settingsTable() string {
	table := "| flag | variable | meaning | allowed | default |\n|---|---|---|---|---|\n"
	for _, s := range EntrySettings() {
		value := "none"
		switch {
		case s.Required:
			value = "**required**"
		case s.Default != "":
			value = "`" + s.Default + "`"
		}
		table += fmt.Sprintf("| `--%s` | `%s` | %s | %s | %s |\n", s.Flag, EnvVar(s.Flag), s.Usage, s.Allowed, value)
	}
	return table
}

// Guards against a page that lists a variable the daemon does not read, or an outdated default: the VM
// would then run with settings other than the operator expects.
func TestOperatingPageListsTheSettings(t *testing.T) {
	written, err := os.ReadFile(operatingPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, opened := strings.Cut(string(written), tableBegin)
	table, after, closed := strings.Cut(rest, tableEnd)
	if !opened || !closed {
		t.Fatalf("%s: the markers around the settings table are missing", operatingPage)
	}
	if *update {
		table = settingsTable()
		if err := os.WriteFile(operatingPage, []byte(before+tableBegin+table+tableEnd+after), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if table != settingsTable() {
		t.Errorf("%s: the settings differ from the code; run: go test ./pasetting -run OperatingPage -update", operatingPage)
	}
}
