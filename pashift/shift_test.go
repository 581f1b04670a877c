package pashift

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayahead/pabundle"
)

// TestMain fixes the seed so that CI runs are reproducible; command-line flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20260", "rapid.checks": "400", "rapid.steps": "40", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against a share that moves faster than the cap, which sends traffic to cold caches all at once.
// Roll-outs and roll-backs drain a region while regions and entry VMs fail. Shares could jump after a
// restart that loses the progress of a shift, a freeze past its end, with clocks that differ by up to 5 s,
// after a roll-out that starts before the last one has ended, or with a region that flaps.
func TestSharesNeverExceedTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: epoch, rolls: []RollOut{{Bundle: bundle([]float64{1, 0, 0}), RolledAt: epoch.Add(-time.Hour)}}}
		offset := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "offset")) * time.Millisecond
		})
		for i := range w.daemons {
			w.daemons[i] = &daemon{}
			w.boot(w.daemons[i], offset.Draw(t, "clock"), true)
		}
		pick := rapid.IntRange(0, 2)
		steps := func(n int) {
			for range n {
				w.step(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { steps(rapid.IntRange(1, 100).Draw(t, "ticks")) },
			"roll": func(t *rapid.T) {
				at := w.now.Add(offset.Draw(t, "operator"))
				last := w.rolls[len(w.rolls)-1]
				home := float64(rapid.IntRange(0, 4).Draw(t, "home")) / 4
				next := bundle([]float64{home, 1 - home, 0}, []float64{1 - home, 0, home})
				if n := len(w.rolls); n > 1 && rapid.Bool().Draw(t, "back") {
					next = w.rolls[n-2].Bundle
				}
				w.rolls = append(w.rolls, RollOut{Bundle: next, Start: ChangedShares(SharesAt(last, at), next), RolledAt: at})
				steps(1)
			},
			"health": func(t *rapid.T) {
				w.down[pick.Draw(t, "region")] = rapid.Bool().Draw(t, "down")
				steps(rapid.IntRange(1, 8).Draw(t, "ticks"))
			},
			"load": func(t *rapid.T) {
				w.load[pick.Draw(t, "region")] = rapid.Float64Range(0, 3).Draw(t, "load")
				w.silent = rapid.Bool().Draw(t, "silent")
			},
			"restart": func(t *rapid.T) {
				w.boot(w.daemons[pick.Draw(t, "daemon")], offset.Draw(t, "clock"), rapid.Bool().Draw(t, "alone"))
			},
			"freeze": func(t *rapid.T) {
				d := w.daemons[pick.Draw(t, "daemon")]
				d.frozenUntil, d.lagging = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds"))*time.Second), true
			},
			"cut": func(t *rapid.T) {
				d := w.daemons[pick.Draw(t, "daemon")]
				d.cut, d.lagging = !d.cut, true
			},
		})
	})
}

// Guards against exceeding the cap after a roll-back by an operator with a slow clock. An entry VM whose
// clock is 5 s fast has moved 5 s further along the old shift and moves back by the same amount in
// addition to the cap; skewMargin covers both. It restarts at the moment of the roll-back.
func TestRollBackKeepsTheCapWithClockSkew(t *testing.T) {
	before, drained := bundle([]float64{1, 0, 0}), bundle([]float64{0, 1, 0})
	first := RollOut{Bundle: drained, Start: ChangedShares(GoalShares(before), drained), RolledAt: epoch}
	rolled := epoch.Add(100 * time.Second)
	back := RollOut{Bundle: before, Start: ChangedShares(SharesAt(first, rolled), before), RolledAt: rolled}
	home := func(r RollOut, at time.Time) float64 {
		l := &Limiter{}
		l.SetRollOut(r, at.Add(MaxClockSkew))
		return l.Step(at.Add(MaxClockSkew)).services[service].rows[0][0]
	}
	if change := home(back, rolled.Add(capWindow)) - home(first, rolled); math.Abs(change) > capShare+1e-9 {
		t.Errorf("the share moved by %.4f in %v, the cap is %.2f", change, capWindow, capShare)
	}
}

// Checks the cap on counted requests when all targets of a region fail. Callers use cached look-ups for
// 5 s, some never look up, and an entry VM of the region also forwards. The shares of the other
// regions must rise no faster than the cap, and so must the region's own when it returns; the rest is
// refused with a retry delay.
func TestCountedTrafficKeepsTheCapWhenARegionDies(t *testing.T) {
	for _, lookUpCallers := range []int{0, 150, 300} {
		t.Run(fmt.Sprintf("%d of 300 look up", lookUpCallers), func(t *testing.T) {
			served := countCallers(lookUpCallers)
			window := int(capWindow / tick)
			for to := range names {
				for i := range served {
					for j := max(0, i-window); j < i; j += 10 {
						if rise := served[i][to] - served[j][to]; rise > capShare+0.01 {
							t.Fatalf("the share of %s rose by %.3f within %v, which exceeds the cap", names[to], rise, time.Duration(i-j)*tick)
						}
					}
				}
			}
			if dead := served[deathTick+1200]; dead[1]+dead[2] < 0.99 {
				t.Errorf("10 minutes after the failure a share of %.3f of the requests is served, want at least 0.99", dead[1]+dead[2])
			}
			if end := served[len(served)-1]; end[0] < 0.99 {
				t.Errorf("at the end a share of %.3f of the requests is served in the home region, want at least 0.99", end[0])
			}
		})
	}
}

// deathTick is the tick at which the region fails.
const deathTick = 60

// countCallers simulates 300 callers of the first region, of which lookUpCallers use look-ups, and returns the
// share of them that each region served, by tick.
func countCallers(lookUpCallers int) [][3]float64 {
	const callers, refresh = 300, 10
	random := rand.New(rand.NewPCG(1, 2))
	l := &Limiter{}
	l.SetRollOut(RollOut{Bundle: bundle([]float64{1, 0, 0}), RolledAt: epoch}, epoch)
	var c Selector
	answers := make([]pabundle.RegionName, callers)
	var served [][3]float64
	for n := range 4000 {
		now := epoch.Add(time.Duration(n) * tick)
		for i, name := range names {
			l.Observe(now, service, name, Reading{At: now, Down: i == 0 && n > deathTick && n < deathTick+1240, Load: 0.3})
		}
		table := l.Step(now)
		var count [3]float64
		for i := range callers {
			if n%refresh == i%refresh || answers[i] == "" {
				answers[i] = names[0]
				if r := c.Route(table, LookUp, service, names[0], random.Float64()); i < lookUpCallers && !r.Refused {
					answers[i] = r.Region
				}
			}
			to := answers[i]
			if to == names[0] {
				r := c.Route(table, Forward, service, to, random.Float64())
				if r.Refused {
					continue
				}
				to = r.Region
			}
			for j, name := range names {
				if name == to {
					count[j] += 1.0 / callers
				}
			}
		}
		served = append(served, count)
	}
	return served
}

// Guards against emptying a region because of a lost report, which refuses its share for minutes, and
// against following each flap, which moves the callers back and forth. The region is reported down for
// a second now and then and must keep its share; then it flaps for five minutes and must stay empty until
// it is stable.
func TestFlappingRegionIsLeftOnce(t *testing.T) {
	l := &Limiter{}
	l.SetRollOut(RollOut{Bundle: bundle([]float64{1, 0, 0}), RolledAt: epoch}, epoch)
	returns, last := 0, 1.0
	for n := range 2400 {
		now := epoch.Add(time.Duration(n) * tick)
		flap := n%20 < 2 && n < 600 || n >= 600 && n < 1200 && n%20 < 12
		l.Observe(now, service, names[0], Reading{At: now, Down: flap, Load: 0.5})
		home := l.Step(now).services[service].rows[0][0]
		if n < 600 && home < 1 {
			t.Fatalf("a share of %.3f is left in the home region after 1 s of reports that it is down, want 1", home)
		}
		if last == 0 && home > 0 {
			returns++
		}
		last = home
	}
	if returns != 1 || last < 0.99 {
		t.Errorf("traffic returned %d times and the home share is %.3f, want once and at least 0.99", returns, last)
	}
}

// Guards against lasting oscillation: two regions near full load that report it 5 s late could shed to
// each other on every reading. After the readings stop, shed traffic must return.
func TestLateReadingsDoNotOscillate(t *testing.T) {
	l := &Limiter{}
	l.SetRollOut(RollOut{Bundle: bundle([]float64{1, 0, 0}), RolledAt: epoch}, epoch)
	var loads [][3]float64
	turns, last := 0, 0.0
	home := func(table *Table) float64 { return table.services[service].rows[0][0] }
	var table *Table
	for n := range 3600 {
		now := epoch.Add(time.Duration(n) * tick)
		if n >= 10 && n < 3000 {
			for i, name := range names {
				l.Observe(now, service, name, Reading{At: now, Load: loads[n-10][i]})
			}
		}
		before := 1.0
		if table != nil {
			before = home(table)
		}
		table = l.Step(now)
		if d := home(table) - before; d*last < 0 {
			turns++
			last = d
		} else if d != 0 {
			last = d
		}
		var load [3]float64
		for a, demand := range []float64{1.3, 0.6, 0.3} {
			for b := range names {
				load[b] += demand * table.services[service].rows[a][b]
			}
		}
		loads = append(loads, load)
		if n == 2999 {
			t.Logf("after 25 minutes the loads are %.2f and the home share changed direction %d times", load, turns)
		}
		if n == 2999 && (load[0] > 1 || load[1] > 1 || load[2] > 1) {
			t.Errorf("after 25 minutes the loads are %.2f, want at most 1", load)
		}
	}
	if turns > 4 {
		t.Errorf("the home share changed direction %d times, want at most 4", turns)
	}
	if h := home(table); h < 0.99 {
		t.Errorf("5 minutes after the readings stopped the home share is %.3f, want at least 0.99", h)
	}
}

// Guards against overload when all entry VMs of a region fail and its callers turn to another region at
// once: 100 requests per second arrive where the share is 30. The region must accept only the share.
func TestArrivalsFromAFailedRegionAreLimitedToItsShare(t *testing.T) {
	l := &Limiter{}
	l.SetRollOut(RollOut{Bundle: bundle([]float64{0.7, 0.3, 0}), RolledAt: epoch}, epoch)
	l.SetDemand(service, names[0], 100)
	var c Selector
	taken := 0
	for n := range 3000 {
		now := epoch.Add(time.Duration(n) * 10 * time.Millisecond)
		if r := c.AdmitArrival(l.Step(epoch), now, service, names[0], names[1], 0.5); !r.Refused {
			taken++
		} else if r.RetryAfter < minRetryAfter {
			t.Fatalf("a refused request has a retry delay of %v, want at least minRetryAfter", r.RetryAfter)
		}
	}
	if most := int(30*30*arrivalSlack + 30*arrivalSlack*arrivalBurst.Seconds()); taken > most || taken < 900 {
		t.Errorf("accepted %d of 3000 requests, want 900 to %d", taken, most)
	}
}

func BenchmarkRoute(b *testing.B) {
	l := &Limiter{}
	l.SetRollOut(RollOut{Bundle: bundle([]float64{0.5, 0.3, 0.2}), RolledAt: epoch}, epoch)
	table := l.Step(epoch)
	var c Selector
	b.ReportAllocs()
	for b.Loop() {
		c.Route(table, LookUp, service, names[0], 0.5)
	}
}

// BenchmarkStep measures the work of one second with 3 regions and 4 services, and with 26 and 20.
func BenchmarkStep(b *testing.B) {
	for _, size := range [][2]int{{3, 4}, {26, 20}} {
		b.Run(fmt.Sprintf("%d regions %d services", size[0], size[1]), func(b *testing.B) {
			was, will := &pabundle.Bundle{}, &pabundle.Bundle{}
			for i := range size[0] {
				will.Regions = append(will.Regions, pabundle.Region{Name: pabundle.RegionName(fmt.Sprint(i))})
			}
			for n := range size[1] {
				s := pabundle.Service{Name: pabundle.ServiceName(fmt.Sprint(n)), Shift: bundle([]float64{1}).Services[0].Shift}
				for _, r := range will.Regions {
					s.Shares = append(s.Shares, pabundle.Share{From: r.Name, To: r.Name, Share: 1})
				}
				was.Services = append(was.Services, s)
				s.Shares = nil
				for i, r := range will.Regions {
					to := will.Regions[(i+1)%size[0]].Name
					s.Shares = append(s.Shares, pabundle.Share{From: r.Name, To: to, Share: 1})
				}
				will.Services = append(will.Services, s)
			}
			l := &Limiter{}
			l.SetRollOut(RollOut{Bundle: will, Start: GoalShares(was), RolledAt: epoch}, epoch)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.Step(now)
			}
		})
	}
}
