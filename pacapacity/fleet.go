package pacapacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"papayahead/pabundle"
	"papayahead/pamember"
	"papayahead/paspread"

	"google.golang.org/protobuf/proto"
)

// Shape is the layout of a fleet.
type Shape struct {
	Regions, ZonesPerRegion, PerZone int
}

// Size returns the number of daemons.
func (s Shape) Size() int { return s.Regions * s.ZonesPerRegion * s.PerZone }

// Node is one daemon's membership in a Fleet, with its counts.
type Node struct {
	*pamember.Member
	Identity pamember.Identity
	// Down nodes neither tick nor receive; Frozen ones neither, but go on later.
	Down, Frozen bool
	// Sent and Received count encoded bytes, Messages those sent.
	Sent, Received, Messages int
	// Spread is set if the Fleet spreads configuration; InForce is when each sequence was adopted.
	Spread  *paspread.Replicator
	InForce map[pabundle.Sequence]time.Time
	// Changes collects what the node's Step reported, when the Fleet keeps them.
	Changes []pamember.Change
	next    time.Time
	view    uint64
	ticks   int
	booted  bool
}

// Fleet is a number of daemons on a network in memory. Its zero value with a Random is empty.
type Fleet struct {
	Random *rand.Rand
	Now    time.Time
	Nodes  []*Node
	// Loss is the share of messages that get lost.
	Loss float64
	// Cut, if set, says which messages do not arrive.
	Cut func(from, to pamember.Identity) bool
	// Encode makes every message pass through its encoded form, whose bytes are counted.
	Encode bool
	// Keep collects changes at the nodes; OnChange, if set, hears of them.
	Keep     bool
	OnChange func(n *Node, c pamember.Change)
	// Store, if set, holds the configuration, which the nodes then spread.
	Store  *Store
	byName map[pabundle.EntryName]*Node
	byAddr map[netip.AddrPort]*Node
	mail   mailbox
	order  uint64
}

// letter is a message under way.
type letter struct {
	at    time.Time
	order uint64
	to    *Node
	event pamember.Event
	// spread is set instead of event for what Spread hears.
	spread func(n *Node)
}

type mailbox []letter

func (m mailbox) Len() int { return len(m) }
func (m mailbox) Less(i, j int) bool {
	if !m[i].at.Equal(m[j].at) {
		return m[i].at.Before(m[j].at)
	}
	return m[i].order < m[j].order
}
func (m mailbox) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push appends for package heap.
func (m *mailbox) Push(x any) { *m = append(*m, x.(letter)) }

// Pop removes the last for package heap.
func (m *mailbox) Pop() any {
	old := *m
	x := old[len(old)-1]
	*m = old[:len(old)-1]
	return x
}

// Build fills an empty fleet with daemons that know the seeds of the VM list.
func (f *Fleet) Build(s Shape) error {
	for r := range s.Regions {
		for z := range s.ZonesPerRegion {
			for i := range s.PerZone {
				if _, err := f.Add(fmt.Sprintf("region-%02d", r), fmt.Sprintf("region-%02d-%c", r, 'a'+z), fmt.Sprintf("entry-%02d%c%03d", r, 'a'+z, i)); err != nil {
					return err
				}
			}
		}
	}
	for _, n := range f.Nodes {
		n.Step(f.Now, pamember.Seeds{List: f.Seeds()})
	}
	return nil
}

// Seeds returns the VM list of all nodes that are not down.
func (f *Fleet) Seeds() []pamember.Seed {
	var all []pamember.Seed
	for _, n := range f.Nodes {
		if !n.Down {
			d := n.Identity
			all = append(all, pamember.Seed{Name: d.Name, Zone: d.Zone, Region: d.Region, PeerAddress: d.PeerAddress})
		}
	}
	return all
}

// Add starts one daemon.
func (f *Fleet) Add(region, zone, name string) (*Node, error) {
	if f.byAddr == nil {
		f.byAddr, f.byName = map[netip.AddrPort]*Node{}, map[pabundle.EntryName]*Node{}
	}
	k := len(f.byAddr) + 1
	address := netip.AddrFrom4([4]byte{10, byte(k >> 16), byte(k >> 8), byte(k)})
	d := pamember.Identity{
		Name: pabundle.EntryName(name), Zone: pabundle.ZoneName(zone), Region: pabundle.RegionName(region),
		Incarnation:   pamember.Incarnation(f.Now.UnixMilli()),
		CallerAddress: netip.AddrPortFrom(address, 8080), PeerAddress: netip.AddrPortFrom(address, 7070),
	}
	n := &Node{Identity: d, next: f.Now.Add(time.Duration(f.Random.Int64N(int64(pamember.TickInterval))))}
	f.Nodes = append(f.Nodes, n)
	f.byAddr[d.PeerAddress], f.byName[d.Name] = n, n
	return n, f.restart(n)
}

// Restart gives a node a new life under its name, which remembers nothing.
func (f *Fleet) Restart(n *Node) error {
	n.Identity.Incarnation = pamember.Incarnation(f.Now.UnixMilli())
	n.Down, n.Frozen = false, false
	n.next = f.Now
	if err := f.restart(n); err != nil {
		return err
	}
	f.Do(n, pamember.Seeds{List: f.Seeds()})
	return nil
}

func (f *Fleet) restart(n *Node) error {
	m, err := pamember.New(pamember.Config{Self: n.Identity, Random: rand.New(rand.NewPCG(f.Random.Uint64(), 1))})
	n.Member = m
	if err != nil || f.Store == nil {
		return err
	}
	n.InForce, n.booted = map[pabundle.Sequence]time.Time{}, false
	n.Spread, err = paspread.New(paspread.Config{Deployment: deployment, Random: rand.New(rand.NewPCG(f.Random.Uint64(), 2)), Children: children})
	return err
}

// Run moves the clock on by d; ticks and messages happen in the order of their times.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for f.Now.Before(end) {
		slice := f.Now.Add(10 * time.Millisecond)
		for len(f.mail) > 0 && f.mail[0].at.Before(slice) {
			f.deliver(heap.Pop(&f.mail).(letter))
		}
		for _, n := range f.Nodes {
			if !n.Down && !n.Frozen && n.next.Before(slice) {
				n.next = n.next.Add(pamember.TickInterval)
				f.Do(n, pamember.Tick{})
				f.tickSpread(n)
			}
		}
		f.Now = slice
	}
}

// Thaw lets a frozen node go on.
func (f *Fleet) Thaw(n *Node) {
	n.Frozen = false
	n.next = f.Now
}

func (f *Fleet) deliver(l letter) {
	if l.to.Down || l.to.Frozen {
		return
	}
	if l.spread != nil {
		l.spread(l.to)
		return
	}
	f.Do(l.to, l.event)
}

// Do hands a node one event and posts what it sends.
func (f *Fleet) Do(n *Node, v pamember.Event) {
	out := n.Step(f.Now, v)
	for _, c := range out.Changes {
		if f.Keep {
			n.Changes = append(n.Changes, c)
		}
		if f.OnChange != nil {
			f.OnChange(n, c)
		}
		if a, ok := c.(pamember.NewerConfigSeen); ok && n.Spread != nil {
			f.doSpread(n, paspread.NewerSequenceSeen{Peer: a.From.Name, Sequence: a.Config.Sequence})
		}
	}
	for _, e := range out.Send {
		f.post(n, e)
	}
}

// The delays of both users' deployments, one way.
const (
	regionDelay = 500 * time.Microsecond
	farDelay    = 17500 * time.Microsecond
)

func (f *Fleet) post(n *Node, e pamember.Envelope) {
	to := f.byAddr[e.Address]
	size := 0
	if f.Encode {
		b, err := proto.Marshal(pamember.ToWire([]pamember.Message{e.Message}))
		if err != nil {
			panic(err)
		}
		size = len(b)
		e.Message = decode(b)
	}
	f.carry(n, to, size, letter{event: pamember.Received{Message: e.Message}})
}

// carry counts and delays a letter, and loses it if the network does.
func (f *Fleet) carry(n, to *Node, size int, l letter) {
	n.Sent += size
	n.Messages++
	if to == nil || f.Random.Float64() < f.Loss || f.Cut != nil && f.Cut(n.Identity, to.Identity) {
		return
	}
	to.Received += size
	delay := regionDelay
	if to.Identity.Region != n.Identity.Region {
		delay = farDelay
	}
	f.order++
	l.at, l.order, l.to = f.Now.Add(delay), f.order, to
	heap.Push(&f.mail, l)
}
