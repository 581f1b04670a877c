package paport_test

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"papayahead/paport"
)

// Guards against clients that hold the port for entry VMs open, silent, until the process has no descriptor left, or no neighbour gets through.
func TestCapClosesFurtherAndSilentConnections(t *testing.T) {
	g := NewWithT(t)
	base, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer base.Close()
	l := &paport.Cap{Listener: base, Clock: clockwork.NewRealClock(), Max: 2, FirstByte: 100 * time.Millisecond}
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", base.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { c.Close() })
		return c
	}
	speaks, silent := dial(), dial()
	defer silent.Close()
	first, second := <-accepted, <-accepted
	_, err = speaks.Write([]byte("a"))
	g.Expect(err).NotTo(HaveOccurred())
	b := make([]byte, 1)
	if first.RemoteAddr().String() != speaks.LocalAddr().String() {
		first, second = second, first
	}
	_, err = first.Read(b)
	g.Expect(err).NotTo(HaveOccurred())
	further := dial()
	_, err = further.Read(b)
	g.Expect(err).To(HaveOccurred(), "a third one is closed")
	_, err = second.Read(b)
	g.Expect(err).To(HaveOccurred(), "the silent one")
	_ = second.Close() // It is closed already.
	_ = second.Close()
	g.Expect(l.Open()).To(Equal(1))
	time.Sleep(150 * time.Millisecond)
	_, err = speaks.Write([]byte("b"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = first.Read(b)
	g.Expect(err).NotTo(HaveOccurred(), "the time is that to the first byte")
}
