package pamember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"papayahead/pabundle"

	"github.com/gravitational/trace"
)

// The timing of the protocol, chosen for a zone of some 25 entry VMs with 0.5 ms between them.
const (
	// TickInterval is how often Tick is due: a fifth of a Round, so that probe timeouts are met to within a tenth of a
	// round and an idle daemon wakes only five times a second.
	TickInterval = 200 * time.Millisecond
	// Round is the time between two probes, and between two gossip messages. At one a second a dead member of a zone of
	// any size is probed within a second on average, and a daemon sends some six messages a second.
	Round = time.Second
	// pingTimeout is a hundred times the delay within a region, and tolerates a garbage collection or a busy CPU.
	pingTimeout = 400 * time.Millisecond
	// indirectTimeout covers the path through a helper, which itself waits for pingTimeout.
	indirectTimeout = 700 * time.Millisecond
	// minSuspicion and maxSuspicion bound the time that a suspected member has to refute: the suspicion needs about a
	// second to cross a zone, and the refutation as much. The time starts at the maximum and falls with each further
	// accuser, so that a single daemon with a bad link can't declare others dead quickly.
	minSuspicion = 2 * time.Second
	maxSuspicion = 5 * time.Second
	// localStaleAfter and remoteStaleAfter are how long a zone's heartbeat may stand still before its members are
	// Unreachable. Within a region every gossip message carries it (one a second each); between regions it travels
	// through relays, several rounds apart.
	localStaleAfter  = 5 * time.Second
	remoteStaleAfter = 15 * time.Second
	// queryAfter is when a zone of the region is queried for its heartbeat: it leaves time for three rounds of two
	// queries until localStaleAfter.
	queryAfter = 2 * time.Second
	// probation is how long a lost zone's heartbeat has to rise before its members are used again. The zone's own
	// daemons need that time to find out which of them died meanwhile (some six seconds for the first to restart in a
	// zone that lost its power), and it keeps a flapping link from making traffic flap.
	probation = 10 * time.Second
	// pauseThreshold is the time without a Step from which the process counts as paused: seven ticks, and less than any
	// lease or credit.
	pauseThreshold = 1500 * time.Millisecond
	// syncInterval is the least time between two comparisons of digests; gossip has converged by then.
	syncInterval = 5 * time.Second
	// seedInterval is the time between two attempts to contact a seed that is not a live member. It heals a split in
	// which both sides have forgotten each other.
	seedInterval = 10 * time.Second
	// reportIntervalPerPeer times the region's size is the least time between two load reports of a member: four
	// seconds in a region of 81, where the reports then cost a daemon some 2 KB a second each way.
	reportIntervalPerPeer = 50 * time.Millisecond
	// tombstoneTTL is how long a Dead or Left record is kept, so that late messages about its lifetime are known to be
	// old.
	tombstoneTTL = 10 * time.Minute
	// lostZoneTTL is how long the members of a lost zone are kept: longer than regions lose contact with each other.
	lostZoneTTL = time.Hour
)

// The counts of the protocol.
const (
	// probeRounds is how many probes have to fail in a row for a suspicion. With one, 5 % loss would raise a false
	// suspicion every few seconds in a fleet of 2,100; with two, about one a day.
	probeRounds = 2
	// helpers is how many members are asked to ping one that does not answer.
	helpers = 3
	// extraAccusers is how many accusers besides the first reduce the time to refute to its minimum.
	extraAccusers = 3
	// relaysPerRegion is how many daemons of a region gossip with other regions; with three, the loss of a rack leaves
	// one.
	relaysPerRegion = 3
	// localSends and remoteSends are how many messages of a daemon carry an update within the region and, from a relay,
	// to other regions. With some four messages a second to 80 peers, ten sends reach all but one in thousands; the
	// comparison of digests finds the rest.
	localSends  = 10
	remoteSends = 4
	// syncSends is lower: with ten, the records of a boot of 384 daemons circulated for 80 s.
	syncSends = 1
	// reportSends is lower: the next load report follows within seconds anyway.
	reportSends = 3
	// leaveSends is how many peers are told of a planned stop at once.
	leaveSends = 4
	// maxHealth bounds how far a daemon's own missed answers slow its probing.
	maxHealth = 4
	// unheardProbes is how many members never heard from are probed in a round besides the next one.
	unheardProbes = 4
	// joinAttempts is how many seeds are contacted each second until one answers.
	joinAttempts = 2
	// maxSyncRequests bounds how many SyncZones follow each other at once, as after a boot: 64 times 64 records is
	// twice the fleet.
	maxSyncRequests = 64
)

// Config configures a Member.
type Config struct {
	Self Identity
	// Random chooses the peers for probes and gossip; the Member must be its only user.
	Random *rand.Rand
}

// Member is the membership state of one daemon. It is not safe for concurrent use.
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
	config            ConfigVersion
	probes            probes
	seeds             []Seed
	lastHeard         time.Time
	// syncing is set while records from a SyncRecords message are merged.
	syncing  bool
	schedule schedule
	// version counts changes of the members' state, reportVersion those of load reports.
	version, reportVersion uint64
	view                   *View
	viewedAt               time.Time
	viewedReportVersion    uint64
}

// schedule holds when the periodic actions are due next.
type schedule struct {
	probe, gossip, remoteGossip, heartbeat, seed, sync, sweep, report time.Time
	syncRequestsLeft                                                  int
	reportChanged                                                     bool
}

// entry is the state of one known member.
type entry struct {
	record    Record
	load      LoadReport
	changedAt time.Time
	// lastHeard is when the last message of this incarnation arrived.
	lastHeard time.Time
	suspicion *suspicion
	// zoneHeartbeat is the heartbeat of the entry's zone, nil for the own entry.
	zoneHeartbeat *heartbeat
}

// New returns a Member that knows only itself. It fails if the identity is invalid or there is no random source.
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
		return trace.BadParameter("member name of %d bytes, want 1 to %d", len(d.Name), maxNameBytes)
	case d.Zone == "" || len(d.Zone) > maxNameBytes:
		return trace.BadParameter("member %s: zone name of %d bytes, want 1 to %d", d.Name, len(d.Zone), maxNameBytes)
	case d.Region == "" || len(d.Region) > maxNameBytes:
		return trace.BadParameter("member %s: region name of %d bytes, want 1 to %d", d.Name, len(d.Region), maxNameBytes)
	case d.Incarnation == 0 || d.Incarnation > MaxIncarnation:
		return trace.BadParameter("member %s: incarnation %d, want 1 to %d", d.Name, d.Incarnation, MaxIncarnation)
	case !d.PeerAddress.IsValid():
		return trace.BadParameter("member %s: no peer address", d.Name)
	}
	return nil
}

// Step applies one event at time now and returns the messages to send and the changes made.
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
		if v.Config.Sequence >= m.config.Sequence {
			m.config = v.Config
		}
	case Leave:
		m.leave(now, Leaving, &out)
	case FinishLeave:
		m.leave(now, Left, &out)
	}
	return out
}

// detectPause handles a process that did not run for a while (stopped, swapped out, its VM moved). When it resumes, all
// its timeouts have expired at once, and it would declare everyone dead and gossip that. All timers are restarted, and
// the caller is told, because its leases may have expired unnoticed.
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

// isDue reports whether a periodic action is due and schedules the next with a jitter of a fifth, so that daemons that
// started together don't act together.
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

// queueLoadReport queues the own load report if it changed. The interval grows with the region: each update costs every
// daemon of the region some bytes, and their sum stays constant this way.
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

// insert adds an entry to the entries, the digests and the index.
func (m *Member) insert(e *entry) {
	m.entries[e.record.Name] = e
	m.digests.add(e.record)
	i, _ := slices.BinarySearchFunc(m.index.all, e.record.Name, byName)
	m.index.all = slices.Insert(m.index.all, i, e)
	m.index.dirty = true
}

func byName(e *entry, n pabundle.EntryName) int { return cmp.Compare(e.record.Name, n) }

// leave announces a planned stop to some peers at once, because look-ups answered in the meantime still send requests
// here; gossip tells the others.
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
	if e := m.pickRemote(); e != nil {
		m.send(out, e, m.gossipMessage(&m.remoteUpdates))
	}
}

// setSelf replaces the own record and queues the update.
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

// queueUpdate queues an entry's record for gossip. Records from a sync are sent fewer times: there may be many, as
// after a boot, and other daemons find them by comparing digests as well.
func (m *Member) queueUpdate(e *entry) {
	near, far := localSends, remoteSends
	if m.syncing {
		near, far = syncSends, syncSends
	}
	m.localUpdates.add(e, near)
	m.remoteUpdates.add(e, far)
	m.version++
}

// usable reports whether an entry is a member to send messages to: not gone, and its zone not silent.
func (m *Member) usable(e *entry) bool {
	return e != nil && !e.record.State.Gone() && (e.zoneHeartbeat == nil || !e.zoneHeartbeat.silent())
}

func (m *Member) send(out *Output, e *entry, msg Message) {
	// A member that is suspected or declared dead is told so with every message to it, so that it can refute.
	if e.record.State == Suspected || e.record.State == Dead {
		msg.Records = append([]Record{e.record}, msg.Records...)
	}
	out.Send = append(out.Send, Envelope{To: e.record.Name, Address: e.record.PeerAddress, Message: msg})
}

// removeExpired removes expired tombstones and the members of zones lost for longer than lostZoneTTL.
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
