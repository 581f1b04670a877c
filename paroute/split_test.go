package paroute

import "testing"

// Guards against a service of low weight that gets no requests because each of many entry VMs handles only a few, and begins
// with the service of the highest weight.
func TestManyEntryVMsWithFewRequestsKeepTheShares(t *testing.T) {
	const entries, requests = 300, 3
	all := make([]Splitter, entries)
	for i := range all {
		// A multiplicative hash stands in for the hashes of entry VM names.
		all[i].Seed = uint64(i) * 0x9e3779b97f4a7c15 >> 32
	}
	for _, weight := range []float64{0.1, 0.5, 0.2} {
		parts := []WeightedService{{Service: "old", Weight: 1 - weight}, {Service: "new", Weight: weight}}
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
			t.Errorf("a service of weight %v got %.3f of %d requests", weight, share, entries*requests)
		}
	}
}
