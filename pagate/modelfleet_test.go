package pagate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pafleet"
	"papayahead/panetwork"
	"papayahead/paroute"
)

// modelRegions are the regions of a modelled fleet, each of modelZones zones; the store stands in the first.
var modelRegions = []string{"centro", "norte", "occidente"}

const (
	modelZones = 3
	// modelInZone, modelInRegion and modelBetween are the delays of one way.
	modelInZone   = 200 * time.Microsecond
	modelInRegion = 500 * time.Microsecond
	modelBetween  = 35 * time.Millisecond
	// modelLink is the bytes per second of an entry VM's link, modelRegionLink those between two regions for each entry VM of the fleet.
	modelLink       = 20e6 / 8
	modelRegionLink = 2.35e6 / 8
	// modelDecode is how many bytes of the store's answers an entry VM decodes in a second.
	modelDecode = 8e6
	// modelTargets is the number of targets; listing them takes modelTargets*modelItemBytes.
	modelTargets = 480
	// modelRetryFloor is the number of retries that all entry VMs together may add to a ratio of the requests.
	modelRetryFloor = 58
	// modelLead is how long a fleet runs before its day begins.
	modelLead = 4 * time.Second
)

// modelEntry is an entry VM of a modelled fleet.
type modelEntry struct {
	fleet        *modelFleet
	index        int
	name         string
	zone, region string
	address      netip.Addr
	gate         atomic.Pointer[Gate]
	// stop begins a graceful shutdown, kill ends the process at once; done is closed at its end.
	stop, kill context.CancelFunc
	done       chan struct{}
	// cutFromStore is set while no byte passes between the store and the entry VM.
	cutFromStore bool
}

// modelNetwork is the network of a modelled fleet: delays, and links that carry one byte after the other.
type modelNetwork struct {
	panetwork.Network
	mutex sync.Mutex
	byIP  map[netip.Addr]*modelEntry
	// free is when each link has sent what was put on it so far; busy is the share of each link that other traffic takes.
	free map[string]time.Time
	last map[[2]netip.Addr]time.Time
	busy float64
	// bytes counts those that entry VMs sent to each other, storeBytes those that the store sent.
	bytes, storeBytes int
}

func newModelNetwork() *modelNetwork {
	n := &modelNetwork{byIP: map[netip.Addr]*modelEntry{}, free: map[string]time.Time{}, last: map[[2]netip.Addr]time.Time{}}
	n.Arrival = n.between
	return n
}

// modelSmall is the size of a message that does not wait for larger ones on the same link: connections share it packet by packet.
const modelSmall = 16 << 10

// send puts bytes on a link and returns when the last of them has left it. The mutex is held.
func (n *modelNetwork) send(link string, bytes int, perSecond float64) time.Time {
	if bytes <= modelSmall {
		link += " small"
	}
	start := time.Now()
	if n.free[link].After(start) {
		start = n.free[link]
	}
	n.free[link] = start.Add(time.Duration(float64(bytes) / (perSecond * (1 - n.busy)) * float64(time.Second)))
	return n.free[link]
}

// regionLink returns the bytes per second between two regions. The mutex is held.
func (n *modelNetwork) regionLink() float64 { return modelRegionLink * float64(len(n.byIP)) }

// between returns when bytes from one entry VM to another arrive.
func (n *modelNetwork) between(from, to netip.Addr, bytes int) time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	a, b := n.byIP[from], n.byIP[to]
	n.bytes += bytes
	at := n.send("out "+a.name, bytes, modelLink)
	if a.region != b.region {
		at = later(at, n.send(a.region+" to "+b.region, bytes, n.regionLink()))
	}
	at = later(at, n.send("in "+b.name, bytes, modelLink)).Add(delay(a.zone, a.region, b.zone, b.region))
	k := [2]netip.Addr{from, to}
	n.last[k] = later(n.last[k], at)
	return n.last[k]
}

// setBusy sets the share of each link that other traffic takes.
func (n *modelNetwork) setBusy(x float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.busy = x
}

// counts returns the bytes that entry VMs sent to each other, and those that the store sent.
func (n *modelNetwork) counts() (bytes, storeBytes int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.bytes, n.storeBytes
}

// fromStore returns when an answer of the store has arrived at an entry VM and is decoded.
func (n *modelNetwork) fromStore(e *modelEntry, bytes int) time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.storeBytes += bytes
	at := n.send("in "+e.name, bytes, modelLink)
	if e.region != modelRegions[0] {
		at = later(at, n.send(modelRegions[0]+" to "+e.region, bytes, n.regionLink()))
	}
	return at.Add(time.Duration(float64(bytes) / modelDecode * float64(time.Second)))
}

func (n *modelNetwork) delayTo(e *modelEntry) time.Duration {
	return delay("store", modelRegions[0], e.zone, e.region)
}

func (n *modelNetwork) isCutOff(e *modelEntry) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return e.cutFromStore
}

func delay(zone, region, otherZone, otherRegion string) time.Duration {
	switch {
	case region != otherRegion:
		return modelBetween
	case zone != otherZone:
		return modelInRegion
	}
	return modelInZone
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// modelHost is an entry VM's end of the network.
type modelHost struct{ panetwork.Host }

// Listen implements Network.
func (h *modelHost) Listen(a netip.AddrPort) (net.Listener, error) {
	return h.Host.Listen(context.Background(), a)
}

// modelFleet is a deployment in virtual time: real gates on a modelled network and store.
type modelFleet struct {
	network *modelNetwork
	store   *modelStore
	entries []*modelEntry
	random  *rand.Rand
	maxAge  time.Duration
	version int64
	targets int
	// mutex guards writes and when they are held.
	mutex   sync.Mutex
	writes  []*modelWrite
	stop    context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
}

// modelWrite is a write and when each entry VM held it.
type modelWrite struct {
	at    time.Time
	holds func(g *Gate) bool
	held  map[string]time.Duration
}

// newModelFleet starts a fleet; it must be called in a bubble of synctest.
func newModelFleet(n int, seed uint64, maxPropagation time.Duration) *modelFleet {
	f := &modelFleet{network: newModelNetwork(), random: rand.New(rand.NewPCG(seed, 1)), maxAge: maxPropagation}
	f.store = newModelStore(f.network)
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range n {
		r, z := i%len(modelRegions), i/len(modelRegions)%modelZones
		e := &modelEntry{
			fleet: f, index: i, region: modelRegions[r], zone: fmt.Sprintf("%s-%c", modelRegions[r], 'a'+z),
			address: netip.AddrFrom4([4]byte{10, byte(r), byte(i >> 8), byte(i)}),
		}
		e.name = fmt.Sprintf("edge-%s-%d", e.zone, i)
		f.entries = append(f.entries, e)
		f.network.byIP[e.address] = e
	}
	f.writeConfig()
	for range modelTargets {
		f.addTarget()
	}
	for _, e := range f.entries {
		e.start(true)
	}
	f.spawn(f.look)
	return f
}

func (f *modelFleet) spawn(run func()) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		run()
	}()
}

// close ends all processes of the fleet.
func (f *modelFleet) close() {
	f.stop()
	for _, e := range f.entries {
		e.crash()
	}
	f.running.Wait()
}

func (f *modelFleet) alive(d time.Duration) bool { return sleepUntil(f.ctx, time.Now().Add(d)) == nil }

// start runs the entry VM's process.
func (e *modelEntry) start(bootstrap bool) {
	f := e.fleet
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(e.address, port) }
	s := Settings{
		Name: e.name, Zone: e.zone, Region: e.region, Regions: map[string]string{}, Front: at(1), Ready: at(2), Directory: at(3),
		Peers: at(4), GracePeriod: 10 * time.Second, MaxPropagation: f.maxAge, Bootstrap: bootstrap, MaxLookUpTTL: 5 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryFloor: modelRetryFloor, MaxShift: 0.15, MinLeaseTTL: time.Second, LinkMbps: modelLink * 8 / 1e6,
	}
	for _, o := range f.entries {
		s.Regions[o.zone] = o.region
	}
	for i := range min(3, len(f.entries)) {
		s.Seeds = append(s.Seeds, netip.AddrPortFrom(f.entries[i].address, 4))
	}
	host := &modelHost{panetwork.Host{Network: &f.network.Network, Address: e.address}}
	g := New(Config{
		Settings: s, Registry: f.store.of(e), Network: host, Clock: clockwork.NewRealClock(), Random: rand.New(rand.NewPCG(uint64(e.index), 2)),
	})
	stopCtx, stop := context.WithCancel(context.Background())
	ctx, kill := context.WithCancel(context.Background())
	e.gate.Store(g)
	done, wait := make(chan struct{}), time.Duration(f.random.IntN(300))*time.Millisecond
	e.stop, e.kill, e.done = stop, kill, done
	go func() {
		defer close(done)
		if sleepUntil(ctx, time.Now().Add(wait)) != nil {
			return
		}
		if err := g.Run(stopCtx, ctx); err != nil {
			panic(err)
		}
	}()
}

// crash kills the entry VM's process; its connections are reset.
func (e *modelEntry) crash() {
	e.kill()
	<-e.done
	e.fleet.network.Reset(e.address)
}

// cutFromOthers cuts the entry VM off from all others, or ends that.
func (e *modelEntry) cutFromOthers(cut bool) {
	n := e.fleet.network
	for _, o := range e.fleet.entries {
		if o == e {
			continue
		}
		if cut {
			n.Cut(e.address, o.address)
			n.Cut(o.address, e.address)
			continue
		}
		n.Heal(e.address, o.address)
		n.Heal(o.address, e.address)
	}
}

func (e *modelEntry) cutStore(cut bool) {
	n := e.fleet.network
	n.mutex.Lock()
	e.cutFromStore = cut
	n.mutex.Unlock()
	s := e.fleet.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wakeWatches()
}

// readers returns the entry VMs that read the store for all others, by what the first entry VM that runs believes.
func (f *modelFleet) readers() (all []*modelEntry) {
	g := f.entries[0].gate.Load()
	for _, r := range g.storeReaders(g.state.Load()) {
		i := slices.IndexFunc(f.entries, func(e *modelEntry) bool { return e.name == r.Name })
		all = append(all, f.entries[i])
	}
	return all
}

func (f *modelFleet) addTarget() {
	i := f.targets
	f.targets++
	e := f.entries[i%len(f.entries)]
	f.store.write(fmt.Sprint("servers/", i), func(r pafleet.Revision) pafleet.Change {
		return pafleet.TargetUpdated{Target: pafleet.Target{
			ID: fmt.Sprint("t", i), Service: fmt.Sprint("s", i%4), Zone: e.zone, Slots: 3, Born: 1, Sequence: 1, Revision: r, Registered: r,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{11, 0, byte(i >> 8), byte(i)}), 80),
		}}
	})
}

// drainTarget lets a target say that it drains.
func (f *modelFleet) drainTarget(i int) *modelWrite {
	key := fmt.Sprint("servers/", i)
	f.store.mutex.Lock()
	t := f.store.items[key].(pafleet.TargetUpdated).Target
	f.store.mutex.Unlock()
	t.Draining, t.Sequence = true, t.Sequence+1
	at := f.store.write(key, func(r pafleet.Revision) pafleet.Change {
		t.Revision = r
		return pafleet.TargetUpdated{Target: t}
	})
	return f.noteWrite(func(g *Gate) bool { return g.state.Load().revision >= at })
}

// writeConfig writes the next version of the configuration.
func (f *modelFleet) writeConfig() *modelWrite {
	f.version++
	v := f.version
	c := &paroute.Config{Version: v, Services: map[string]paroute.Service{}}
	for i := range 4 {
		name := fmt.Sprint("s", i)
		c.Services[name] = paroute.Service{MaxConnections: 100}
		c.Routes = append(c.Routes, paroute.Route{
			Name: name, Host: "h", Prefix: fmt.Sprintf("/%d/", i), Idempotent: true, MaxAttempts: 2,
			Parts: []paroute.WeightedService{{Service: name, Weight: 1}}, Timeout: time.Second, TargetLatency: time.Second,
		})
	}
	f.store.write("op/config", func(r pafleet.Revision) pafleet.Change { return pafleet.ConfigUpdated{Revision: r, Config: c} })
	return f.noteWrite(func(g *Gate) bool { return g.state.Load().configVersion() >= v })
}

// evacuate evacuates a zone, or takes that back.
func (f *modelFleet) evacuate(zone string, begin bool) *modelWrite {
	f.store.write("op/evacuate/"+zone, func(r pafleet.Revision) pafleet.Change {
		if begin {
			return pafleet.ZoneEvacuated{Zone: zone, Revision: r}
		}
		return pafleet.ZoneRestored{Zone: zone, Revision: r}
	})
	return f.noteWrite(func(g *Gate) bool { return slices.Contains(g.state.Load().evacuated, zone) == begin })
}

func (f *modelFleet) noteWrite(holds func(g *Gate) bool) *modelWrite {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	w := &modelWrite{at: time.Now(), holds: holds, held: map[string]time.Duration{}}
	f.writes = append(f.writes, w)
	return w
}

// look notes when each entry VM holds each write.
func (f *modelFleet) look() {
	for f.alive(10 * time.Millisecond) {
		f.mutex.Lock()
		for _, w := range f.writes {
			w.look(f.entries)
		}
		f.mutex.Unlock()
	}
}

// look notes which entry VMs hold the write now. The fleet's mutex is held.
func (w *modelWrite) look(entries []*modelEntry) {
	if len(w.held) == len(entries) {
		return
	}
	for _, e := range entries {
		if _, ok := w.held[e.name]; !ok && w.holds(e.gate.Load()) {
			w.held[e.name] = time.Since(w.at)
		}
	}
}

// span returns the longest time from the write to an entry VM that holds it. Entry VMs for which leave returns true do not
// count.
func (w *modelWrite) span(f *modelFleet, leave func(e *modelEntry) bool) (s modelSpan) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, e := range f.entries {
		d, ok := w.held[e.name]
		switch {
		case leave(e):
		case !ok:
			s.never++
		default:
			s.longest = max(s.longest, d)
		}
	}
	return s
}
