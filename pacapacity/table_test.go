package pacapacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"papayahead/pabundle"
	"papayahead/palookup"
	"papayahead/pamember"
)

// randomBlock returns a block: three quarters IPv4 of 20 to 24 bits, the others IPv6 of 32 to 48 bits.
func randomBlock(r *rand.Rand) pabundle.ClientBlock {
	region := pabundle.RegionName(fmt.Sprintf("region-%02d", r.IntN(26)))
	if r.IntN(4) > 0 {
		x := r.Uint32()
		a := netip.AddrFrom4([4]byte{byte(x >> 24), byte(x >> 16), byte(x >> 8), byte(x)})
		return pabundle.ClientBlock{Prefix: netip.PrefixFrom(a, 20+r.IntN(5)).Masked(), Region: region}
	}
	a := [16]byte{0: 0x20, 1: byte(r.IntN(32))}
	for i := 2; i < 6; i++ {
		a[i] = byte(r.Uint32())
	}
	return pabundle.ClientBlock{Prefix: netip.PrefixFrom(netip.AddrFrom16(a), 32+4*r.IntN(5)).Masked(), Region: region}
}

func buildTable(t *testing.T, n int) *palookup.Table {
	t.Helper()
	r := rand.New(rand.NewPCG(uint64(n), 1))
	var b palookup.Builder
	part := make([]pabundle.ClientBlock, 0, 4096)
	for b.Table().Size() < n {
		part = part[:0]
		for range min(4096, n-b.Table().Size()) {
			part = append(part, randomBlock(r))
		}
		if err := b.Add(part); err != nil {
			t.Fatal(err)
		}
	}
	return b.Table()
}

func heapMB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

func measureTable(t *testing.T) {
	var xs [][]float64
	var ys []float64
	for _, n := range []int{250_000, 500_000, 1_000_000, 2_000_000, 3_900_000} {
		before, start := heapMB(), time.Now()
		table := buildTable(t, n)
		built := time.Since(start)
		size := heapMB() - before
		xs, ys = append(xs, []float64{1, float64(n)}), append(ys, size)
		r := rand.New(rand.NewPCG(3, 4))
		addresses := make([]netip.Addr, 1<<16)
		for i := range addresses {
			addresses[i] = randomBlock(r).Prefix.Addr()
		}
		lookup := timeLookups(table, addresses, 1<<21)
		allocs := testing.AllocsPerRun(1000, func() { table.Region(addresses[5]) })
		apply := timeApply(t, table, r)
		var stop atomic.Bool
		var during time.Duration
		var wg sync.WaitGroup
		wg.Go(func() {
			for rounds := time.Duration(1); !stop.Load(); rounds++ {
				during += (timeLookups(table, addresses, 1<<18) - during) / rounds
			}
		})
		other := buildTable(t, n)
		stop.Store(true)
		wg.Wait()
		t.Logf("table blocks=%d heap=%.1fMB build=%.2fs lookup=%dns allocs=%.0f apply=%.1fus lookupDuringReload=%dns", n, size, built.Seconds(), lookup.Nanoseconds(), allocs, float64(apply.Nanoseconds())/1000, during.Nanoseconds())
		runtime.KeepAlive(other)
	}
	c, worst := fit(xs, ys)
	t.Logf("table fit: heap MB = %.2f + %.3f per 100,000 blocks, worst error %.0f %%; at 3.9 M: %.0f MB", c[0], c[1]*1e5, worst*100, c[0]+c[1]*3.9e6)
}

func timeLookups(table *palookup.Table, addresses []netip.Addr, n int) time.Duration {
	start := time.Now()
	for i := range n {
		table.Region(addresses[i%len(addresses)])
	}
	return time.Since(start) / time.Duration(n)
}

// timeApply takes in 2,000 changes of one block each.
func timeApply(t *testing.T, table *palookup.Table, r *rand.Rand) time.Duration {
	const changes = 2000
	start := time.Now()
	for range changes {
		next, err := table.Apply(palookup.Delta{Set: []pabundle.ClientBlock{randomBlock(r)}})
		if err != nil {
			t.Fatal(err)
		}
		table = next
	}
	return time.Since(start) / changes
}

// lookupMembers returns members spread over 83 zones and 26 regions.
func lookupMembers(n int) []pamember.MemberView {
	var members []pamember.MemberView
	for i := range n {
		members = append(members, pamember.MemberView{Identity: pamember.Identity{
			Name: pabundle.EntryName(fmt.Sprintf("entry-%04d", i)), Zone: pabundle.ZoneName(fmt.Sprintf("zone-%02d", i%83)), Region: pabundle.RegionName(fmt.Sprintf("region-%02d", i%83%26)),
			CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
		}, Load: pamember.LoadReport{Stamp: 1, Headroom: uint8(i)}})
	}
	return members
}

// measurePlan measures how long a new Plan takes, as after each change of the view.
func measurePlan(t *testing.T) {
	var xs [][]float64
	var ys []float64
	for _, n := range []int{100, 400, 1000, 2100} {
		v := &pamember.View{Members: lookupMembers(n)}
		var p palookup.Planner
		const rounds = 200
		start := time.Now()
		for i := range rounds {
			p.Update(epoch.Add(time.Duration(i)*time.Second), v)
		}
		took := float64(time.Since(start).Microseconds()) / rounds
		t.Logf("lookup plan members=%d: %.0f us", n, took)
		xs, ys = append(xs, []float64{1, float64(n)}), append(ys, took)
	}
	c, worst := fit(xs, ys)
	t.Logf("lookup plan fit: %.3g + %.3g us a member, worst error %.0f %%", c[0], c[1], worst*100)
}

// measureLookup measures answers of look-ups: the decision, the handler, and the handler over HTTP on loopback.
func measureLookup(t *testing.T) {
	table := buildTable(t, 1_000_000)
	members := lookupMembers(2100)
	measurePlan(t)
	plan := new(palookup.Planner).Update(epoch, &pamember.View{Self: members[0].Identity, Members: members})
	answer := func(a netip.Addr) palookup.Answer {
		region, _ := table.Region(a)
		return plan.Answer(palookup.Query{Service: "library", Caller: a, Region: region, Sequence: 7})
	}
	r := rand.New(rand.NewPCG(3, 4))
	start, n := time.Now(), 100_000
	for range n {
		answer(randomBlock(r).Prefix.Addr())
	}
	t.Logf("lookup decision with 2,100 members: %.1f us", float64(time.Since(start).Microseconds())/float64(n))
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		a, err := netip.ParseAddr(q.URL.Query().Get("Caller"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(answer(a))
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	for _, clients := range []int{1, 2, 4, 8} {
		requests, used := load(t, server, clients, 2*time.Second)
		t.Logf("lookup HTTP clients=%d: %.0f/s, %.1f us of processor time each, caller and server together", clients, float64(requests)/2, float64(used.Microseconds())/float64(requests))
	}
}

// load asks from some clients for a time and returns the answers and the processor time of the process.
func load(t *testing.T, server *httptest.Server, clients int, d time.Duration) (int64, time.Duration) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	var done atomic.Int64
	var wg sync.WaitGroup
	before, end := processorTime(), time.Now().Add(d)
	for i := range clients {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				resp, err := client.Get(fmt.Sprintf("%s/?Caller=10.%d.%d.%d", server.URL, i, k>>8&255, k&255))
				if err != nil {
					t.Error(err)
					return
				}
				var a palookup.Answer
				if json.NewDecoder(resp.Body).Decode(&a) != nil || len(a.Entries) == 0 {
					t.Error("no answer")
				}
				resp.Body.Close()
				done.Add(1)
			}
		})
	}
	wg.Wait()
	return done.Load(), processorTime() - before
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
