package pacredit_test

import (
	"fmt"
	"time"

	"papayahead/pacredit"
)

// A source asks an owner with four slots for six credits, gets three and spends one; the same credit is
// refused the second time, and the rest expire.
func Example() {
	now := time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)
	owner := pacredit.Granter{Self: pacredit.Identity{Name: "norte-1", Incarnation: 1}, Started: now.Add(-time.Minute)}
	owner.SetLoad("deposits", pacredit.Load{Slots: 4})
	source := pacredit.Holder{Self: pacredit.Identity{Name: "centro-1", Incarnation: 1}}

	ask := source.Ask(now, "norte-1", []pacredit.Item{{Service: "deposits", Count: 6}})
	source.Accept(now.Add(70*time.Millisecond), owner.Ask(now.Add(35*time.Millisecond), ask))
	now = now.Add(100 * time.Millisecond)
	fmt.Println("held:", source.Held(now, "norte-1", "deposits"))

	credit, _ := source.Spend(now, "norte-1", "deposits")
	fmt.Println(owner.Redeem(now.Add(35*time.Millisecond), credit), owner.Redeem(now.Add(40*time.Millisecond), credit))
	fmt.Println("held two seconds later:", source.Held(now.Add(2*time.Second), "norte-1", "deposits"))
	// Output:
	// held: 3
	// Start Void
	// held two seconds later: 0
}
