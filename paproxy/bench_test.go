package paproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// benchSize is the size of a response: a page of slots or of thumbnail names.
const benchSize = 1 << 10

// BenchmarkPath measures one request per path in the same run: directly to the target, through one
// entry VM, and through two. The p50 and p99 metrics are request times. "CPU-µs/op" is the
// processor time of the whole process, including callers and target, so the difference between two
// paths is the cost of the proxying.
func BenchmarkPath(b *testing.B) {
	page := make([]byte, benchSize)
	target := echoTarget(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(page) })
	origin, owner := benchProxies(b, target)
	for _, path := range []struct {
		name, url string
		callers   int
	}{
		{"direct", "http://" + target.String() + "/", 1},
		{"local", owner + "/Services/s/", 1},
		{"forwarded", origin + "/Services/s/", 1},
		{"direct-16", "http://" + target.String() + "/", 16},
		{"local-16", owner + "/Services/s/", 16},
		{"forwarded-16", origin + "/Services/s/", 16},
	} {
		b.Run(path.name, func(b *testing.B) { benchPath(b, path.url, path.callers) })
	}
}

// benchProxies returns the addresses of an entry VM that forwards all requests and of the one that
// owns the target.
func benchProxies(b *testing.B, target netip.AddrPort) (origin, owner string) {
	clock := clockwork.NewRealClock()
	dial := (&net.Dialer{}).DialContext
	local := &Proxy{
		Placer:   placeFunc(func(context.Context, Request) Placement { return Local{Address: target} }),
		Services: anyService{}, Clock: clock, NewID: sequentialIDs("l"), Targets: &TargetClient{Clock: clock, Dial: dial},
		Calls: &CallRegistry{Incarnation: 1, Clock: clock},
	}
	peer := serveForwarding(b, local)
	calls := sequentialIDs("c")
	remote := &Proxy{
		Placer: placeFunc(func(context.Context, Request) Placement {
			return Forward{Entry: "e2", Address: peer, Incarnation: 1}
		}),
		Services: anyService{}, Clock: clock, NewID: sequentialIDs("r"),
		Peers: &PeerClient{Self: "e1", Dial: dial, Clock: clock, NewCallID: func() string { return string(calls()) }},
	}
	b.Cleanup(func() {
		_ = remote.Peers.Close()
		local.Targets.Close()
	})
	return "http://" + serve(b, Limits{}.Server(remote), NewFramingListener).String(),
		"http://" + serve(b, Limits{}.Server(local), NewFramingListener).String()
}

// benchPath sends b.N requests with the given number of concurrent callers and reports the
// distribution of their times.
func benchPath(b *testing.B, url string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	times := make([]time.Duration, b.N)
	get := func() {
		r, err := client.Get(url)
		if err != nil {
			b.Error(err)
			return
		}
		defer r.Body.Close()
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != benchSize || r.StatusCode != http.StatusOK {
			b.Errorf("%d bytes, %s, %v", n, r.Status, err)
		}
	}
	get()
	runtime.GC()
	cpu, begun := processorTime(), time.Now()
	b.ResetTimer()
	var running sync.WaitGroup
	for c := range callers {
		running.Go(func() {
			for i := c; i < b.N; i += callers {
				t := time.Now()
				get()
				times[i] = time.Since(t)
			}
		})
	}
	running.Wait()
	b.StopTimer()
	used, took := processorTime()-cpu, time.Since(begun)
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(b.N)/took.Seconds(), "req/s")
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "CPU-µs/op")
}

// processorTime returns the CPU time used by the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
