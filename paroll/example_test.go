package paroll_test

import (
	"context"
	"fmt"
	"os"

	"github.com/jonboulle/clockwork"

	"papayahead/pabundle"
	"papayahead/paplatform"
	"papayahead/paroll"
)

// Two operators bring a bundle into force.
func ExampleOperator() {
	data, _ := os.ReadFile("../examples/kartuli.json")
	bundle, errs := pabundle.Check(data)
	fmt.Println("faults:", len(errs))

	ctx := context.Background()
	clock := clockwork.NewRealClock()
	store := &paplatform.MemoryStore{Clock: clock}
	ana := &paroll.Operator{Name: "ana", Deployment: "kartuli", Store: store, Clock: clock}
	beso := &paroll.Operator{Name: "beso", Deployment: "kartuli", Store: store, Clock: clock}

	version, _ := ana.Propose(ctx, bundle)
	_, _ = beso.Review(ctx, version.Digest, "read")
	_, _ = beso.SignOff(ctx, version.Digest)
	result, _ := ana.RollOut(ctx, paroll.Request{Digest: version.Digest})
	fmt.Println(result.Outcome, "sequence", result.Head.Sequence)
	// Output:
	// faults: 0
	// Won sequence 1
}
