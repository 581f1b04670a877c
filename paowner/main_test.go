package paowner_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and length of the property tests, so that every run gives the same result;
// the flags of rapid override them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "400", "rapid.steps": "80"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
