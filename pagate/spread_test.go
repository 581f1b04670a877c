package pagate

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"papayahead/paplatform"
)

var spreadSizes = flag.String("spread.sizes", "7,20", "numbers of entry VMs of the modelled fleets")

const (
	// spreadBound is the time within which a change must be in force at all entry VMs.
	spreadBound = 4 * time.Second
	// spreadTime is how long a trouble lasts.
	spreadTime = 7 * time.Second
	// spreadSilence is how long the store tells nobody of changes before it loses its history.
	spreadSilence = time.Second
)

// spreadTrouble is what happens around writes of the operator and of a target.
type spreadTrouble struct {
	name string
	// begin starts the trouble, end ends it; either may be nil.
	begin, end func(f *modelFleet, hit []*modelEntry)
	// hits chooses whom it hits; nil stands for the store readers.
	hits func(f *modelFleet) []*modelEntry
	// unreached says that nothing reaches those that are hit.
	unreached bool
	// withheld is how long the store tells nobody of a change.
	withheld time.Duration
}

func each(do func(e *modelEntry)) func(f *modelFleet, hit []*modelEntry) {
	return func(_ *modelFleet, hit []*modelEntry) {
		for _, e := range hit {
			do(e)
		}
	}
}

func storeDoes(fault storeFault) func(f *modelFleet, hit []*modelEntry) {
	return each(func(e *modelEntry) { e.fleet.store.setFault(e.name, fault) })
}

// thirdOfFleet returns the store readers and others, 35 in 100 of the fleet in all.
func thirdOfFleet(f *modelFleet) []*modelEntry {
	all := f.readers()
	for _, i := range f.random.Perm(len(f.entries)) {
		if len(all)*100 < 35*len(f.entries) && !slices.Contains(all, f.entries[i]) {
			all = append(all, f.entries[i])
		}
	}
	return all
}

func loseHistory(f *modelFleet) { f.spawn(func() { f.store.loseHistory(spreadSilence) }) }

func loseHistoryBusy(busy float64) func(f *modelFleet, hit []*modelEntry) {
	return func(f *modelFleet, _ []*modelEntry) {
		f.network.setBusy(busy)
		loseHistory(f)
	}
}

func loseHistoryAnd(do func(f *modelFleet, hit []*modelEntry)) func(f *modelFleet, hit []*modelEntry) {
	return func(f *modelFleet, hit []*modelEntry) {
		loseHistory(f)
		do(f, hit)
	}
}

var (
	storeLimits  = storeDoes(storeFault{refuses: paplatform.Limited})
	storeSilent  = storeDoes(storeFault{silent: true})
	storeServes  = storeDoes(storeFault{})
	crash        = each((*modelEntry).crash)
	cutOff       = each(func(e *modelEntry) { e.cutFromOthers(true) })
	reconnect    = each(func(e *modelEntry) { e.cutFromOthers(false) })
	cutOffAll    = each(func(e *modelEntry) { e.cutFromOthers(true); e.cutStore(true) })
	reconnectAll = each(func(e *modelEntry) { e.cutFromOthers(false); e.cutStore(false) })
)

var spreadTroubles = []spreadTrouble{
	{name: "None"},
	{name: "ReadersKilled", begin: crash, unreached: true},
	{name: "ReadersRefused", begin: storeLimits, end: storeServes},
	{name: "ReadersSilent", begin: storeSilent, end: storeServes},
	{name: "ThirdRefused", begin: storeLimits, end: storeServes, hits: thirdOfFleet},
	{name: "ThirdSilent", begin: storeSilent, end: storeServes, hits: thirdOfFleet},
	{name: "ReadersCutOffFromOthers", begin: cutOff, end: reconnect},
	{name: "ReadersCutOffFromAll", begin: cutOffAll, end: reconnectAll, unreached: true},
	{name: "SlowStore", begin: func(f *modelFleet, _ []*modelEntry) { f.store.setSlow(60) }},
	{name: "HistoryLost", begin: loseHistoryBusy(0), withheld: spreadSilence},
	{name: "HistoryLostBusyLinks", begin: loseHistoryBusy(0.6), withheld: spreadSilence},
	{name: "HistoryLostBusierLinks", begin: loseHistoryBusy(0.8), withheld: spreadSilence},
	{name: "HistoryLostReadersKilled", begin: loseHistoryAnd(crash), withheld: spreadSilence, unreached: true},
	{name: "HistoryLostReadersRefused", begin: loseHistoryAnd(storeLimits), end: storeServes, withheld: spreadSilence},
	{name: "HistoryLostThirdRefused", begin: loseHistoryAnd(storeLimits), end: storeServes, hits: thirdOfFleet, withheld: spreadSilence},
}

// spreadResult is what a play of a trouble showed.
type spreadResult struct {
	config, evacuation, drain     modelSpan
	calls, lists, peerKB, storeKB int
}

// modelSpan is the longest time from a write to an entry VM that holds it.
type modelSpan struct {
	longest time.Duration
	// never is the number of entry VMs that did not hold it at the end.
	never int
}

func (s modelSpan) String() string {
	if s.never > 0 {
		return fmt.Sprintf("never at %d", s.never)
	}
	return s.longest.Round(10 * time.Millisecond).String()
}

func (s modelSpan) within(d time.Duration) bool { return s.never == 0 && s.longest <= d }

// playSpread plays a trouble in a fleet of n entry VMs. It must be called in a bubble of synctest.
func playSpread(n int, x spreadTrouble) (r spreadResult) {
	f := newModelFleet(n, 1, spreadBound)
	defer f.close()
	time.Sleep(modelLead)
	calls, lists := f.store.totalCalls(), f.store.callsOf("List")
	bytes, storeBytes := f.network.counts()
	hit := f.readers()
	if x.hits != nil {
		hit = x.hits(f)
	}
	if x.begin != nil {
		x.begin(f, hit)
	}
	time.Sleep(300 * time.Millisecond)
	config := f.writeConfig()
	evacuation := f.evacuate("norte-a", true)
	drain := f.drainTarget(0)
	time.Sleep(spreadTime)
	if x.end != nil {
		x.end(f, hit)
	}
	time.Sleep(time.Second)
	spans := []*modelSpan{&r.config, &r.evacuation, &r.drain}
	for i, w := range []*modelWrite{config, evacuation, drain} {
		*spans[i] = w.span(f, func(e *modelEntry) bool { return x.unreached && slices.Contains(hit, e) })
	}
	r.calls, r.lists = f.store.totalCalls()-calls, f.store.callsOf("List")-lists
	allBytes, allStoreBytes := f.network.counts()
	r.peerKB, r.storeKB = (allBytes-bytes)/1000, (allStoreBytes-storeBytes)/1000
	return r
}

// A configuration or an evacuation reached the entry VMs of a large deployment seconds late, or not at all, after the store
// had lost its history or the entry VMs that read it for all others failed: callers were answered by an old
// configuration, and a zone that was being emptied got requests.
func TestOperatorWordIsInForceWithinHalfTheBound(t *testing.T) {
	for size := range strings.SplitSeq(*spreadSizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range spreadTroubles {
			t.Run(fmt.Sprint(x.name, n), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := playSpread(n, x)
					t.Logf("configuration %v, evacuation %v, target that drains %v; %d calls, %d pages listed, %d KB among entry VMs, %d KB from the store",
						r.config, r.evacuation, r.drain, r.calls, r.lists, r.peerKB, r.storeKB)
					if most := spreadBound/2 + x.withheld; !r.config.within(most) || !r.evacuation.within(most) {
						t.Errorf("a configuration was in force after %v, an evacuation after %v, want %v", r.config, r.evacuation, most)
					}
					if most := spreadBound + x.withheld; !r.drain.within(most) {
						t.Errorf("a target that drains was known after %v, want %v", r.drain, most)
					}
				})
			})
		}
	}
}

// After the store had lost its history half of the fleet and more listed it at once, over links that they share.
func TestLossOfHistoryLetsFewEntryVMsListTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, most = 20, 6
		r := playSpread(n, spreadTrouble{begin: loseHistoryAnd(storeLimits), end: storeServes})
		pages := modelTargets/modelPage + 1
		if r.lists > most*pages {
			t.Errorf("%d pages were listed, want at most %d, those of %d listings", r.lists, most*pages, most)
		}
	})
}
