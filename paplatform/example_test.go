package paplatform_test

import (
	"context"
	"fmt"

	"github.com/jonboulle/clockwork"

	"papayahead/paplatform"
)

// The store loses the reply to a write. The caller gets Unknown and reads the key to find out whether it was written.
func ExampleMemoryStore() {
	ctx := context.Background()
	store := &paplatform.MemoryStore{Clock: clockwork.NewRealClock()}
	store.Inject(paplatform.Injection{Operation: paplatform.OperationCompareAndSwap, Effect: paplatform.LostAfter, Times: 1})
	_, err := store.CompareAndSwap(ctx, "greeting", 0, []byte("gamarjoba"), "")
	fmt.Println(paplatform.FaultOf(err))
	v, found, _ := store.Get(ctx, "greeting")
	fmt.Println(found, string(v.Data))
	// Output:
	// Unknown
	// true gamarjoba
}
