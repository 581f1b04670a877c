package paport_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"papayahead/paport"
)

func TestSharesLeaveDescriptors(t *testing.T) {
	g := NewWithT(t)
	g.Expect(paport.Divide(0)).To(Equal(paport.Shares{}), "unknown: no bound")
	for _, n := range []int{128, 3900, 20000} {
		s := paport.Divide(n)
		g.Expect(s.Clients+s.Refusing+s.LookUps+s.Readiness+s.Targets).To(BeNumerically("<", n*19/20), "a part is left for the store and other entry VMs")
	}
}
