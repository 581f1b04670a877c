package pacapacity

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayahead/pabundle"
	"papayahead/pamember"
)

// The tables of docs/CAPACITY.md: go test ./pacapacity -run TestCapacity -capacity -v
var capacity = flag.Bool("capacity", false, "measure the slopes of docs/CAPACITY.md")

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newFleet(t *testing.T, seed uint64, s Shape, store bool) *Fleet {
	t.Helper()
	f := &Fleet{Random: rand.New(rand.NewPCG(seed, 7)), Now: epoch}
	if store {
		f.Store = &Store{}
	}
	if err := f.Build(s); err != nil {
		t.Fatal(err)
	}
	return f
}

// TestCapacity first measures processor time, one thing at a time, and then what does not depend on it, side by side.
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("without -capacity")
	}
	t.Run("Table", measureTable)
	t.Run("Lookup", measureLookup)
	t.Run("Member", measureMember)
	t.Run("Bundle", measureBundle)
	t.Run("Credit", measureCredit)
	t.Run("List", measureList)
	t.Run("Rest", func(t *testing.T) {
		for name, run := range map[string]func(*testing.T){
			"Spread": measureSpread, "Hour": measureHour, "Failure": measureFailure, "Store": measureStore, "Mechanism": measureMechanism,
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				run(t)
			})
		}
	})
}

// A fleet of some size agrees, spreads a change and finds a death: what the tables measure works at all.
func TestFleetAgreesAndSpreads(t *testing.T) {
	f := newFleet(t, 1, Shape{Regions: 3, ZonesPerRegion: 2, PerZone: 5}, true)
	f.Run(20 * time.Second)
	f.Nodes[3].Down = true
	f.Run(20 * time.Second)
	if n := disagreements(f); n > 0 {
		t.Errorf("%d entries of views are wrong", n)
	}
	took, missing := roll(f, 10*time.Second)
	if missing > 0 || took[len(took)-1] > 10*time.Second {
		t.Errorf("%d daemons without the change, the others after %v", missing, took[len(took)-1])
	}
}

// disagreements counts entries of running nodes' views that are not as the fleet is.
func disagreements(f *Fleet) int {
	wrong := 0
	for _, n := range f.Nodes {
		if n.Down {
			continue
		}
		v := n.View(f.Now)
		for _, o := range f.Nodes {
			if m, ok := v.Find(o.Identity.Name); (ok && m.Live()) == o.Down {
				wrong++
			}
		}
	}
	return wrong
}

// roll puts a new head into the store, runs the fleet and returns the sorted times until each running node had it.
func roll(f *Fleet, d time.Duration) (took []time.Duration, missing int) {
	f.Store.Put([]byte("services"), fmt.Appendf(nil, "blocks %d", f.Store.Head.Sequence))
	s, start := f.Store.Head.Sequence, f.Now
	f.Run(d)
	return arrivals(f, s, start)
}

func arrivals(f *Fleet, s pabundle.Sequence, start time.Time) (took []time.Duration, missing int) {
	for _, n := range f.Nodes {
		if n.Down {
			continue
		}
		if at, ok := n.InForce[s]; ok {
			took = append(took, at.Sub(start))
		} else {
			missing++
		}
	}
	slices.Sort(took)
	return took, missing
}

// setFacts changes every node's facts, as ordinary load does.
func setFacts(f *Fleet, i int) {
	for _, n := range f.Nodes {
		if !n.Down {
			f.Do(n, pamember.SetLoadReport{Report: pamember.LoadReport{
				Sequence: 1, Headroom: uint8(i), Free: []uint8{1, 2, 3, 4}, Slots: []uint8{9, 9, 9, 9}, Waiting: []uint8{0, 0, 0, uint8(i)},
			}})
		}
	}
}

// fit returns the least squares solution of y = sum(c*x) over rows of x, and the largest error relative to y.
func fit(x [][]float64, y []float64) (c []float64, worst float64) {
	n := len(x[0])
	a := make([][]float64, n)
	for i := range a {
		a[i] = make([]float64, n+1)
		for k, row := range x {
			for j := range n {
				a[i][j] += row[i] * row[j]
			}
			a[i][n] += row[i] * y[k]
		}
	}
	for i := range n {
		p := i
		for r := i + 1; r < n; r++ {
			if math.Abs(a[r][i]) > math.Abs(a[p][i]) {
				p = r
			}
		}
		a[i], a[p] = a[p], a[i]
		for r := range n {
			if r == i {
				continue
			}
			q := a[r][i] / a[i][i]
			for j := i; j <= n; j++ {
				a[r][j] -= q * a[i][j]
			}
		}
	}
	for i := range n {
		c = append(c, a[i][n]/a[i][i])
	}
	for k, row := range x {
		worst = max(worst, math.Abs(dot(c, row)-y[k])/y[k])
	}
	return c, worst
}

func dot(a, b []float64) float64 {
	s := 0.0
	for i := range a {
		s += a[i] * b[i]
	}
	return s
}
