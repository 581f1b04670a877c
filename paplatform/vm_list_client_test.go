package paplatform

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

func TestVMListClientReportsLagAndOutage(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	clock := clockwork.NewRealClock()
	s := &Server{Store: &MemoryStore{Clock: clock}, VMs: &MemoryVMList{Clock: clock}}
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	c := &VMListClient{Base: h.URL}
	s.VMs.Put(VM{Name: "e1", Kind: Entry, Zone: "z", State: Live})
	s.VMs.SetLag(time.Hour)
	g.Expect(c.List(ctx)).To(BeEmpty())
	s.VMs.SetLag(0)
	g.Expect(c.List(ctx)).To(ConsistOf(HaveField("Name", "e1")))
	s.VMs.SetOutage(true)
	_, err := c.List(ctx)
	g.Expect(FaultOf(err)).To(Equal(Unavailable))
}
