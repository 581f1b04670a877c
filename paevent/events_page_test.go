package paevent

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "regenerate docs/EVENTS.md")

const (
	eventsPage = "../docs/EVENTS.md"
	eventsHead = `# Events

Every process records numbered events: each as one JSON line in its log (standard error), and the
latest 8,192 in memory for the time line (` + "`papayahead timeline`" + `). A number is never
reused. This page is generated from the code by ` + "`go test ./paevent -run EventsPage -update`" + `, and the same
test without the flag fails when the two differ.

A log line has the fields ` + "`Process`, `Number`, `Event`, `Stamp`, `Details`" + ` and the text as ` + "`message`" + `. The
fields below are those of ` + "`Details`" + `. ` + "`Request`, `Service` and `Sequence`" + ` are left out when they are not set;
the time line is filtered by them. What to do about warnings and errors is in [OPERATING.md](OPERATING.md).

Levels: info is normal operation; warn is a fault that the system handles by itself; error needs an
operator to act. "Recorded by" names the packages whose code records the event; **none**
marks a kind that has a number but is not recorded by this version.
`
)

// eventRow returns the page's table row of an event.
func eventRow(e Event, recorders []string) string {
	k := e.Kind()
	by := strings.Join(recorders, ", ")
	if by == "" {
		by = "**none**"
	}
	return fmt.Sprintf("| %d | %s | %s | %s | %s | %s |\n", k.Number, k.Name, k.Level, k.Text, strings.Join(fieldsOf(reflect.TypeOf(e)), ", "), by)
}

// fieldsOf lists an event's details, embedded ones included, as "Name type".
func fieldsOf(t reflect.Type) []string {
	var all []string
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			all = append(all, fieldsOf(f.Type)...)
			continue
		}
		all = append(all, "`"+f.Name+"` "+f.Type.String())
	}
	return all
}

// recorders returns the packages that record each kind of event, found by their composite literals paevent.X{...}.
func recorders(t *testing.T) map[string][]string {
	found := map[string][]string{}
	walkGo(t, "..", func(path string, f *ast.File) {
		by := filepath.Base(filepath.Dir(path))
		ast.Inspect(f, func(n ast.Node) bool {
			l, ok := n.(*ast.CompositeLit)
			if !ok {
				return true
			}
			s, ok := l.Type.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			x, ok := s.X.(*ast.Ident)
			if ok && x.Name == "paevent" && !slices.Contains(found[s.Sel.Name], by) {
				found[s.Sel.Name] = append(found[s.Sel.Name], by)
			}
			return true
		})
	})
	for _, v := range found {
		slices.Sort(v)
	}
	return found
}

// walkGo parses every Go file under a directory except tests and generated code.
func walkGo(t *testing.T, root string, visit func(path string, f *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			visit(path, f)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against an outdated page: after a change of the catalogue, an operator who looks up the number of a
// logged event would find nothing or another event.
func TestEventsPageAgreesWithTheCode(t *testing.T) {
	by := recorders(t)
	all := Catalogue()
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.Kind().Number - b.Kind().Number) })
	page := eventsHead + "\n| Number | Event | Level | Text | Details | Recorded by |\n|---|---|---|---|---|---|\n"
	for _, e := range all {
		page += eventRow(e, by[e.Kind().Name])
	}
	if *update {
		if err := os.WriteFile(eventsPage, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	written, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != page {
		t.Errorf("%s differs from the catalogue; run: go test ./paevent -run EventsPage -update", eventsPage)
	}
}

// Guards against an event that is missing in the catalogue: its number would be undocumented, and a later event
// could take the same number.
func TestEveryEventIsInTheCatalogue(t *testing.T) {
	listed := map[string]bool{}
	for _, e := range Catalogue() {
		name := reflect.TypeOf(e).Name()
		if name != e.Kind().Name {
			t.Errorf("event type %s has the name %s in its Kind", name, e.Kind().Name)
		}
		listed[name] = true
	}
	walkGo(t, ".", func(path string, f *ast.File) {
		for _, d := range f.Decls {
			m, ok := d.(*ast.FuncDecl)
			if !ok || m.Recv == nil || m.Name.Name != "Kind" {
				continue
			}
			if r, ok := m.Recv.List[0].Type.(*ast.Ident); ok && !listed[r.Name] {
				t.Errorf("%s: event %s is missing in the catalogue", path, r.Name)
			}
		}
	})
}
