package paproxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"storj.io/drpc/drpcmux"

	"papayahead/pastand"
	"papayahead/pawire"
)

// entryPair is an origin, the testbed's proxy, that forwards all requests to an owner of the
// target.
type entryPair struct {
	*testbed
	owner        *Proxy
	ownerAddress netip.AddrPort
	dials        atomic.Int64
	wrapConn     func(net.Conn) net.Conn

	connsMutex sync.Mutex
	conns      []net.Conn
}

const ownerIncarnation = 7

func newPair(t testing.TB) *entryPair {
	p := &entryPair{testbed: newBench(t)}
	clock := clockwork.NewRealClock()
	p.owner = &Proxy{
		Placer:   placeFunc(func(context.Context, Request) Placement { return Local{Target: "t1", Address: p.address} }),
		Services: anyService{}, Clock: clock, NewID: sequentialIDs("owner"), Targets: p.proxy.Targets,
		Calls: &CallRegistry{Incarnation: ownerIncarnation, Clock: clock},
	}
	p.ownerAddress = serveForwarding(t, p.owner)
	calls := sequentialIDs("call")
	p.proxy.Peers = &PeerClient{
		Self: "e1", Clock: clock, NewCallID: func() string { return string(calls()) },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			p.dials.Add(1)
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			p.connsMutex.Lock()
			defer p.connsMutex.Unlock()
			p.conns = append(p.conns, c)
			if p.wrapConn != nil {
				c = p.wrapConn(c)
			}
			return c, nil
		},
	}
	p.proxy.Placer = placeFunc(func(context.Context, Request) Placement { return p.forward() })
	t.Cleanup(func() { _ = p.proxy.Peers.Close() })
	return p
}

func (p *entryPair) forward() Forward {
	return Forward{Entry: "e2", Address: p.ownerAddress, Incarnation: ownerIncarnation, Done: p.results.add}
}

// serveForwarding serves drpc requests from peers until the test ends.
func serveForwarding(t testing.TB, s pawire.DRPCForwardingServer) netip.AddrPort {
	mux := drpcmux.New()
	if err := pawire.DRPCRegisterForwarding(mux, s); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = (&PeerServer{Handler: mux}).Serve(ctx, l) }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func TestForwardRelaysResponses(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	upload := bytes.Repeat([]byte("papaya"), 50_000)
	for i, c := range []struct {
		method, query string
		size          int64
		body          []byte
	}{
		{"GET", "?Size=1000", 1000, nil},
		{"GET", "?Size=300000&Chunked=true", 300000, nil},
		{"POST", "?Size=10", 10, upload},
		{"HEAD", "?Size=10", 0, nil},
		{"PUT", "?Size=0", 0, upload[:1]},
	} {
		id := fmt.Sprintf("r%d", i)
		r := p.ask(c.method, "/Services/library/x"+c.query, id, string(c.body))
		g.Expect(complete(r, id, c.size)).To(BeTrue(), "%d %v %v", i, r.status, r.err)
		g.Expect(r.outcome()).To(Equal("Answered"))
		if c.body != nil {
			g.Expect(r.header.Get(pastand.ReceivedHeader)).To(Equal(digest(c.body)))
		}
		g.Expect(executions(p.target, id)).To(Equal(1))
	}
	g.Expect(p.dials.Load()).To(Equal(int64(1)), "sequential calls share one connection")
}

func TestForwardStreamsBothWays(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	const size = 64 << 20
	r, err := http.NewRequest("POST", fmt.Sprintf("%s/Services/archive/x?Size=%d", p.url, size), io.LimitReader(zeros{}, size))
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set(RequestIDHeader, "big")
	response, err := p.client.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(int64(size)))
	g.Expect(response.Trailer.Get(pastand.DigestHeader)).To(Equal(pastand.BodyDigest("big", size)))
}

// zeros is an endless source of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// eachConn calls f for each connection between the entry VMs.
func (p *entryPair) eachConn(f func(net.Conn)) {
	p.connsMutex.Lock()
	defer p.connsMutex.Unlock()
	for _, c := range p.conns {
		f(c)
	}
}
