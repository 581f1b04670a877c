package paroute

import "testing"

// Guards against a part of little weight that gets nothing, because each of many entry VMs sees a few requests only
// and begins with the part of most weight.
func TestManyEntryVMsWithFewRequestsKeepTheShares(t *testing.T) {
	const entries, requests = 300, 3
	all := make([]Splitter, entries)
	for i := range all {
		// The steps of a multiplicative hash stand in for hashes of names.
		all[i].Seed = uint64(i) * 0x9e3779b97f4a7c15 >> 32
	}
	for _, weight := range []float64{0.1, 0.5, 0.2} {
		parts := []WeightedService{{Service: "former", Weight: 1 - weight}, {Service: "new", Weight: weight}}
		got := 0
		for i := range all {
			for range requests {
				if all[i].Next(parts) == "new" {
					got++
				}
			}
		}
		share := float64(got) / (entries * requests)
		if share < weight-0.03 || share > weight+0.03 {
			t.Errorf("a part with the weight %v got %.3f of %d requests", weight, share, entries*requests)
		}
	}
}
