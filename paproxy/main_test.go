package paproxy

import (
	"flag"
	"os"
	"testing"
)

// pathSeed seeds TestPathUnderRandomFaults.
var pathSeed = flag.Uint64("path.seed", 2026, "seed of the random faults on the path")

// TestMain fixes the seed of rapid's tests, so that CI runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261202")
	}
	os.Exit(m.Run())
}
