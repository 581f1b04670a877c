package pamember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"papayahead/pabundle"

	"github.com/gravitational/trace"
)

// The times of the protocol. Each is for a zone of some 25 entry VMs with 0.5 ms between them.
const (
	// TickInterval is how often Tick is due: a fifth of the round, so that a probe's time-outs are met
	// to within a tenth of a round and an idle daemon wakes five times a second only.
	TickInterval = 200 * time.Millisecond
	// Round is the time between two probes, and between two gossips. At one a second a dead member of a
	// zone of any size is probed within a second on average, and a daemon's messages stay at some six a second.
	Round = time.Second
	// pingTimeout is a hundred times the delay within a region, and passes over a garbage collection or a busy CPU.
	pingTimeout = 400 * time.Millisecond
	// indirectTimeout covers the way over a helper, which waits for pingTimeout itself.
	indirectTimeout = 700 * time.Millisecond
	// minSuspicion and suspectMax bound the time to refute: the rumour of a suspicion needs about a second
	// to cross a zone and the refutation as much. It begins at the maximum and falls with each further accuser,
	// so that a single daemon with a bad link can't declare others dead quickly.
	minSuspicion = 2 * time.Second
	maxSuspicion = 5 * time.Second
	// localStaleAfter and farStale are how long a zone's beat may stand still before its members are Unreachable.
	// A beat within the region comes by every gossip (1 s each); over regions by relays, several rounds apart.
	localStaleAfter  = 5 * time.Second
	remoteStaleAfter = 15 * time.Second
	// queryAfter is when a zone of the region is asked for its beat: time for three rounds of two questions until nearStale.
	queryAfter = 2 * time.Second
	// probation is how long a lost zone's beat has to come steadily before its members are used again. Its own
	// daemons need the time to find out who of them died meanwhile (some six seconds for the first that restarts in a
	// zone that lost its power), and it keeps a flapping link from flapping traffic.
	probation = 10 * time.Second
	// pauseThreshold is the time without any step from which the process counts as frozen: seven ticks, and less
	// than any lease or credit.
	pauseThreshold = 1500 * time.Millisecond
	// syncInterval is the least time between two comparisons of digests; rumours have settled by then.
	syncInterval = 5 * time.Second
	// seedInterval is the time between two tries of a seed that is not a live member; it heals splits in which both
	// sides have forgotten each other.
	seedInterval = 10 * time.Second
	// reportIntervalPerPeer times the region's size is the least time between two of a member's facts: four seconds in a
	// region of 81, in which the facts then cost a daemon some 2 KB a second each way.
	reportIntervalPerPeer = 50 * time.Millisecond
	// tombstoneTTL is how long a Dead or Left record is kept, so that late news of its life is known to be old.
	tombstoneTTL = 10 * time.Minute
	// lostZoneTTL is how long the members of a lost zone are kept: longer than regions lose each other.
	lostZoneTTL = time.Hour
)

// The counts of the protocol.
const (
	// probeRounds failed in a row make a suspicion. With one round, 5 % loss would raise a false suspicion
	// every few seconds in a fleet of 2,100; with two, about one in a day.
	probeRounds = 2
	// helpers are asked to ping a silent member.
	helpers = 3
	// extraAccusers besides the first that bring the time to refute to its minimum.
	extraAccusers = 3
	// relaysPerRegion of a region exchange with other regions; three, so that a rack's loss leaves one.
	relaysPerRegion = 3
	// localSends and farSends are how often a daemon passes a rumour on within the region and, as a relay, to others:
	// with some four messages a second to 80 peers, ten sends reach all but one in thousands, and digests find the rest.
	localSends  = 10
	remoteSends = 4
	// syncSends is lower: with ten, the records of a boot of 384 daemons went round for 80 s.
	syncSends = 1
	// reportSends is lower: the next facts come in seconds anyway.
	reportSends = 3
	// leaveSends is how many peers hear at once of a planned stop.
	leaveSends = 4
	// maxHealth bounds how far own missing answers slow the own probing.
	maxHealth = 4
	// unheardProbes are members never heard from that are probed beside the one of the round.
	unheardProbes = 4
	// joinAttempts is how many seeds are asked a second until one answers.
	joinAttempts = 2
	// maxSyncRequests bounds how many SyncZones follow each other at once, as after a boot: 64 times 64 records is twice the fleet.
	maxSyncRequests = 64
)

// Config says who a Member is.
type Config struct {
	Self Identity
	// Random spreads probes and gossip; it belongs to the Member.
	Random *rand.Rand
}

// Member is the membership of one daemon. It is not safe for concurrent use.
type Member struct {
	self              Record
	random            *rand.Rand
	lastStep          time.Time
	entries           map[pabundle.EntryName]*entry
	index             index
	localUpdates      updateQueue
	remoteUpdates     updateQueue
	reportUpdates     updateQueue
	zoneHeartbeats    heartbeatTracker
	contactHeartbeats heartbeatTracker
	digests           digestTree
	advert            ConfigVersion
	probes            probes
	seeds             []Seed
	lastHeard         time.Time
	// syncing is set while records of a comparison are taken in.
	syncing  bool
	schedule schedule
	// version counts changes of who is live, facts those of the facts alone.
	version, reportVersion uint64
	view                   *View
	viewedAt               time.Time
	viewedReportVersion    uint64
}

// schedule holds when the repeated actions are due next.
type schedule struct {
	probe, gossip, remoteGossip, heartbeat, seed, sync, sweep, report time.Time
	syncRequestsLeft                                                  int
	reportChanged                                                     bool
}

// entry is what is known of one member.
type entry struct {
	record    Record
	load      LoadReport
	changedAt time.Time
	// lastHeard is when a message of this incarnation came last.
	lastHeard time.Time
	suspicion *suspicion
	// zoneHeartbeat is the beat of the entry's zoneHeartbeat, nil for the own entry.
	zoneHeartbeat *heartbeat
}

// New returns a Member that knows only itself.
func New(c Config) (*Member, error) {
	if err := checkIdentity(c.Self); err != nil {
		return nil, trace.Wrap(err)
	}
	if c.Random == nil {
		return nil, trace.BadParameter("member %s: no random source", c.Self.Name)
	}
	m := &Member{self: Record{Identity: c.Self}, random: c.Random, entries: map[pabundle.EntryName]*entry{}}
	m.digests.init()
	m.insert(&entry{record: m.self})
	return m, nil
}

func checkIdentity(d Identity) error {
	switch {
	case d.Name == "" || len(d.Name) > maxNameBytes:
		return trace.BadParameter("member name of %d bytes: want 1 to %d", len(d.Name), maxNameBytes)
	case d.Zone == "" || len(d.Zone) > maxNameBytes:
		return trace.BadParameter("member %s: zone name of %d bytes: want 1 to %d", d.Name, len(d.Zone), maxNameBytes)
	case d.Region == "" || len(d.Region) > maxNameBytes:
		return trace.BadParameter("member %s: region name of %d bytes: want 1 to %d", d.Name, len(d.Region), maxNameBytes)
	case d.Incarnation == 0 || d.Incarnation > MaxIncarnation:
		return trace.BadParameter("member %s: incarnation %d: want 1 to %d", d.Name, d.Incarnation, MaxIncarnation)
	case !d.PeerAddress.IsValid():
		return trace.BadParameter("member %s: no peer address", d.Name)
	}
	return nil
}

// Step takes one event at a time now and returns what to send and what has changed.
func (m *Member) Step(now time.Time, v Event) Output {
	var out Output
	m.detectPause(now, &out)
	switch v := v.(type) {
	case Tick:
		m.tick(now, &out)
	case Received:
		m.receive(now, v.Message, &out)
	case Seeds:
		m.seeds = v.List
	case SetLoadReport:
		m.setLoadReport(v.Report)
	case SetConfigVersion:
		if v.Config.Sequence >= m.advert.Sequence {
			m.advert = v.Config
		}
	case Leave:
		m.leave(now, Leaving, &out)
	case FinishLeave:
		m.leave(now, Left, &out)
	}
	return out
}

// detectPause guards against a process that stood still (stopped, swapped out, its VM moved). When it runs again all its
// time-outs have passed at once, and without this it would take everyone for dead and spread that. All waiting
// begins anew, and the caller hears of it, because its leases ran out without its knowing.
func (m *Member) detectPause(now time.Time, out *Output) {
	gap := now.Sub(m.lastStep)
	first := m.lastStep.IsZero()
	m.lastStep = now
	if first || gap < pauseThreshold {
		return
	}
	m.probes.pending = nil
	m.probes.relayed = nil
	m.probes.health = maxHealth
	for _, e := range m.index.all {
		if e.suspicion != nil {
			e.suspicion.started, e.suspicion.undecided = now, false
		}
	}
	m.zoneHeartbeats.restartTimers(now)
	m.contactHeartbeats.restartTimers(now)
	out.changed(PauseDetected{Gap: gap})
}

func (m *Member) tick(now time.Time, out *Output) {
	m.reindex()
	m.updateHeartbeats(now, out)
	m.queueLoadReport(now)
	if m.self.State == Left {
		return
	}
	m.expireProbes(now, out)
	m.expireSuspicions(now, out)
	if m.isDue(now, &m.schedule.probe, m.probes.scaleTimeout(Round)) {
		m.probeNext(now, out)
	}
	if m.isDue(now, &m.schedule.gossip, Round) {
		m.gossipLocal(now, out)
	}
	if m.isDue(now, &m.schedule.remoteGossip, Round) {
		m.gossipRemote(now, out)
	}
	m.contactSeeds(now, out)
	if m.isDue(now, &m.schedule.sweep, seedInterval) {
		m.removeExpired(now)
	}
}

// isDue reports whether an action is due, and sets its next time with a jitter of a fifth, which keeps
// daemons that started together from acting together.
func (m *Member) isDue(now time.Time, next *time.Time, every time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	first := next.IsZero()
	*next = now.Add(every*9/10 + time.Duration(m.random.Int64N(int64(every)/5)))
	if first {
		*next = now.Add(time.Duration(m.random.Int64N(int64(every))))
	}
	return true
}

func (m *Member) setLoadReport(f LoadReport) {
	e := m.entries[m.self.Name]
	f.Stamp = e.load.Stamp
	if f.Sequence == e.load.Sequence && f.Headroom == e.load.Headroom && slices.Equal(f.Free, e.load.Free) &&
		slices.Equal(f.Slots, e.load.Slots) && slices.Equal(f.Waiting, e.load.Waiting) && f.Stamp > 0 {
		return
	}
	f.Free = firstServices(f.Free)
	f.Slots = firstServices(f.Slots)
	f.Waiting = firstServices(f.Waiting)
	e.load = f
	m.schedule.reportChanged = true
}

func firstServices(all []uint8) []uint8 { return slices.Clone(all[:min(len(all), MaxServices)]) }

// queueLoadReport sends out the own facts if they changed, the more seldom the larger the region: each update costs every
// daemon of the region some bytes, and their sum stays the same this way.
func (m *Member) queueLoadReport(now time.Time) {
	if !m.schedule.reportChanged || now.Before(m.schedule.report) {
		return
	}
	e := m.entries[m.self.Name]
	m.schedule.reportChanged = false
	m.schedule.report = now.Add(max(Round, time.Duration(len(m.index.region))*reportIntervalPerPeer))
	e.load.Stamp = max(e.load.Stamp+1, uint64(m.self.Incarnation))
	m.reportUpdates.add(e, reportSends)
	m.reportVersion++
}

// insert adds an entry to what is known.
func (m *Member) insert(e *entry) {
	m.entries[e.record.Name] = e
	m.digests.add(e.record)
	i, _ := slices.BinarySearchFunc(m.index.all, e.record.Name, byName)
	m.index.all = slices.Insert(m.index.all, i, e)
	m.index.dirty = true
}

func byName(e *entry, n pabundle.EntryName) int { return cmp.Compare(e.record.Name, n) }

// leave spreads a planned stop to some peers at once, because every callers' look-up answered meanwhile sends
// work here; the rumour does the rest.
func (m *Member) leave(now time.Time, s State, out *Output) {
	if m.self.State >= s {
		return
	}
	r := m.self
	r.State = s
	m.setSelf(now, r, out)
	m.reindex()
	for range leaveSends {
		if e := pick(m.random, m.index.region); e != nil {
			m.send(out, e, m.gossipMessage(&m.localUpdates))
		}
	}
	if e := m.pickFar(); e != nil {
		m.send(out, e, m.gossipMessage(&m.remoteUpdates))
	}
}

// setSelf makes a record the own one and spreads it.
func (m *Member) setSelf(now time.Time, r Record, out *Output) {
	old := m.self
	m.self = r
	e := m.entries[r.Name]
	m.digests.replace(old, r)
	e.record = r
	e.changedAt = now
	m.queueUpdate(e)
	if old.State != r.State {
		out.changed(StateChanged{Member: r.Identity, Old: old.State, New: r.State})
	}
}

// queueUpdate lets an entry's news travel. What came by a comparison of digests travels less: there may be much of it, as
// after a boot, and others find it by comparing as well.
func (m *Member) queueUpdate(e *entry) {
	near, far := localSends, remoteSends
	if m.syncing {
		near, far = syncSends, syncSends
	}
	m.localUpdates.add(e, near)
	m.remoteUpdates.add(e, far)
	m.version++
}

// usable reports whether an entry is a member to talk to: not gone, and its zone heard of.
func (m *Member) usable(e *entry) bool {
	return e != nil && !e.record.State.Gone() && (e.zoneHeartbeat == nil || !e.zoneHeartbeat.silent())
}

func (m *Member) send(out *Output, e *entry, msg Message) {
	// A member that is thought dead or suspected hears so from whoever talks to it, so that it can refute.
	if e.record.State == Suspected || e.record.State == Dead {
		msg.Records = append([]Record{e.record}, msg.Records...)
	}
	out.Send = append(out.Send, Envelope{To: e.record.Name, Address: e.record.PeerAddress, Message: msg})
}

// removeExpired drops what is no longer needed: tombstones, and the members of zones lost for long.
func (m *Member) removeExpired(now time.Time) {
	kept := m.index.all[:0]
	for _, e := range m.index.all {
		old := e.record.State.Gone() && now.Sub(e.changedAt) > tombstoneTTL
		long := e.zoneHeartbeat != nil && e.zoneHeartbeat.lost && now.Sub(e.zoneHeartbeat.lostAt) > lostZoneTTL
		if e.record.Name == m.self.Name || !old && !long {
			kept = append(kept, e)
			continue
		}
		delete(m.entries, e.record.Name)
		m.digests.remove(e.record)
		m.localUpdates.drop(e)
		m.remoteUpdates.drop(e)
		m.reportUpdates.drop(e)
		m.index.dirty = true
		m.version++
	}
	clear(m.index.all[len(kept):])
	m.index.all = kept
}
