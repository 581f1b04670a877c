package paevent

import "testing"

// Guards against two kinds of events with the same number: their log lines could never be told apart, since
// numbers are not reused.
func TestCatalogueNumbersAreUnique(t *testing.T) {
	seen := map[Number]string{}
	for _, e := range Catalogue() {
		k := e.Kind()
		if other, ok := seen[k.Number]; ok {
			t.Errorf("%s and %s share number %d", other, k.Name, k.Number)
		}
		seen[k.Number] = k.Name
	}
}
