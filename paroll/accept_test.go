package paroll

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"papayahead/pabundle"
)

// Heads arrive in any order, some of another deployment and some with the same sequence. A daemon that
// follows Accept must never go back to a lower sequence and must end at the highest.
func TestAcceptRisesToTheHighestHeadInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var current pabundle.Head
		var highest pabundle.Sequence
		for range rapid.IntRange(1, 20).Draw(r, "heads") {
			h := pabundle.Head{
				Deployment: rapid.SampledFrom([]string{"kartuli", "other"}).Draw(r, "deployment"),
				Sequence:   pabundle.Sequence(rapid.IntRange(0, 6).Draw(r, "sequence")),
				Digest:     pabundle.DigestOf([]byte(rapid.SampledFrom([]string{"x", "y"}).Draw(r, "digest"))),
			}
			if h.Deployment == "kartuli" {
				highest = max(highest, h.Sequence)
			}
			d := Accept(current, h, "kartuli")
			if higher := h.Deployment == "kartuli" && h.Sequence > current.Sequence; (d == Take) != higher {
				r.Fatalf("decision %s for head %+v with current head %+v", d, h, current)
			}
			fork := h.Deployment == "kartuli" && h.Sequence > 0 && h.Sequence == current.Sequence && !reflect.DeepEqual(h, current)
			if (d == Fork) != fork {
				r.Fatalf("decision %s for head %+v with current head %+v", d, h, current)
			}
			if d == Take {
				current = h
			}
		}
		if current.Sequence != highest {
			r.Fatalf("ended at sequence %d, want %d", current.Sequence, highest)
		}
	})
}
