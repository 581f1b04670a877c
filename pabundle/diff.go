package pabundle

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
)

// Difference is one value that differs between two bundles.
type Difference struct {
	// Path is the path of the field, with names of list elements instead of indexes, such as
	// Services[deposits].Targets[dep-01].Slots.
	Path string
	// Old and New are the values as JSON; Old is empty for an added element, New for a removed one.
	Old, New string `json:",omitempty"`
}

// String formats the difference as one line that starts with +, - or ~ for added, removed and changed.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s: %s", d.Path, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s: %s", d.Path, d.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Old, d.New)
	}
}

// Diff returns the differences between two bundles, in the order of the fields of Bundle. The order of
// list elements is ignored.
func Diff(from, to Bundle) []Difference {
	var d differ
	d.value("", reflect.ValueOf(from.Canonical()), reflect.ValueOf(to.Canonical()))
	return d.differences
}

// differ collects differences.
type differ struct{ differences []Difference }

func (d *differ) value(path string, from, to reflect.Value) {
	_, isText := from.Interface().(encoding.TextMarshaler)
	switch {
	case !isText && from.Kind() == reflect.Struct:
		for i := range from.NumField() {
			name := from.Type().Field(i).Name
			if path != "" {
				name = path + "." + name
			}
			d.value(name, from.Field(i), to.Field(i))
		}
	case from.Kind() == reflect.Slice:
		d.list(path, from, to)
	case from.Interface() != to.Interface():
		d.differences = append(d.differences, Difference{path, jsonText(from), jsonText(to)})
	}
}

// list compares two lists, matching their elements by elementKey.
func (d *differ) list(path string, from, to reflect.Value) {
	old := map[string]reflect.Value{}
	var keys []string
	for i := range from.Len() {
		k := elementKey(from.Index(i))
		old[k] = from.Index(i)
		keys = append(keys, k)
	}
	added := map[string]reflect.Value{}
	for i := range to.Len() {
		k := elementKey(to.Index(i))
		added[k] = to.Index(i)
		if _, ok := old[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		here := path + "[" + k + "]"
		o, had := old[k]
		n, has := added[k]
		switch {
		case had && has:
			d.value(here, o, n)
		case had:
			d.differences = append(d.differences, Difference{Path: here, Old: jsonText(o)})
		default:
			d.differences = append(d.differences, Difference{Path: here, New: jsonText(n)})
		}
	}
}

// elementKey returns the key that identifies an element within its list.
func elementKey(v reflect.Value) string {
	switch e := v.Interface().(type) {
	case Region:
		return string(e.Name)
	case Service:
		return string(e.Name)
	case Target:
		return string(e.Name)
	case Link:
		return string(e.From) + " to " + string(e.To)
	case Share:
		return string(e.From) + " to " + string(e.To)
	case ClientBlock:
		return e.Prefix.String()
	default:
		return fmt.Sprint(e)
	}
}

// jsonText returns the JSON encoding of a value in the bundle.
func jsonText(v reflect.Value) string { return string(encode(v.Interface())) }
