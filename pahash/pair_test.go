package pahash

import "testing"

// Guards against names that run into each other, and against a change of the hash: entry VMs of two versions have to agree on it.
func TestPairTellsNamesApart(t *testing.T) {
	if Pair("a", "bc") == Pair("ab", "c") || Pair("a", "b") == Pair("b", "a") {
		t.Error("two pairs of names have the same hash")
	}
	if got, want := Pair("edge-1", "s"), uint64(15370762982984811867); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}
