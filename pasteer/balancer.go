package pasteer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
	"papayahead/paload"
	"papayahead/pamix"
	"papayahead/paretry"
	"papayahead/paroute"
	"papayahead/pawaiting"
)

// Config is the entry VM's location and the limits that the platform sets.
type Config struct {
	Name   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// RetryRatio, RetryWindow and RetryFloor set the retry budget of a service, shared by all entry VMs: at most
	// RetryRatio x requests + RetryFloor retries per window.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryFloor  float64
	// MaxShift is the largest fraction of a region's requests that may move to another region within two seconds;
	// 0 means no limit.
	MaxShift float64
	// Contended says that callers compete for too few slots at times, at the targets of all services.
	Contended bool
	// Room bounds the waiting room for requests to contended services.
	Room pawaiting.Config
	// Off lists the mechanisms that are disabled.
	Off Off
}

// Balancer selects targets for the requests of one entry VM.
type Balancer struct {
	Config Config

	targets  map[string]*target
	services map[string]*service
	splits   map[string]*paroute.Splitter
	runTimes map[string]*runTimes
	// lastTargets and shifts record where each object ran last and how many requests changed region.
	lastTargets lastTargets
	shifts      rollingCounter
	// mix counts where requests run.
	mix pamix.Mix
	// used contains the services that this entry VM has sent requests to.
	used map[string]bool
	// warmTargets lists the targets that are presumably warm for an object, by the object's key.
	warmTargets map[uint64][]*target
	// scratch and scratchUsable are reused by each decision, so that it allocates nothing.
	scratch, scratchUsable []candidate
	// notes is the log of warm objects that neighbours fetch.
	notes noteLog
	// startedAt is the time of the first Update.
	startedAt time.Time
	// entryCount is the number of entry VMs by which the requests after a pushback are spaced: sharers, or the registered ones if that is
	// more. maxEntriesPerZone is the largest number of other entry VMs in one availability zone, at least 1.
	entryCount, sharers, maxEntriesPerZone int
	// hash is the hash of Config.Name; regionPeers are the other entry VMs of the region.
	hash        uint64
	regionPeers []regionPeer
	// coldShares holds, by zone, this entry VM's share of the rate that cold targets bear. Cold targets of zones
	// that are missing here get no requests from it.
	coldShares map[string]coldShare
	// leaving is set while this entry VM shuts down, wasRegistered once a view had its registration.
	leaving, wasRegistered bool
	// entries are the other registered entry VMs, among which the limits of targets are divided; limitSeq numbers the notes
	// on limits.
	entries  []knownEntry
	limitSeq uint64
	// limitChanges are those that the caller has not taken yet.
	limitChanges []LimitChange
	// pushbacks are the targets that want no requests from this entry VM; pushbackChanges are those that the caller has not
	// taken yet.
	pushbacks       map[lifetime]*pushback
	pushbackChanges []PushbackChange
	// hints are the latest notes on pushbacks, hintSeq the number of the last one.
	hints   map[lifetime]hint
	hintSeq uint64
	// loadLog are the notes on the loads of targets, loadKeys the targets by the keys in them; nil for a key that two have.
	loadLog  paload.Log
	loadKeys map[uint32]*target
	// loadAccuracy sums how wrong believed loads were.
	loadAccuracy paload.Accuracy
	// drainings are the lifetimes of targets that said in a response that they are shutting down, and when.
	drainings map[lifetime]time.Time
	// peers are the other entry VMs that may take requests; relayStates is what is known of them from those they took.
	peers       []Peer
	peerByHash  map[uint64]Peer
	relayStates map[string]*relayState
	// senders are the entry VMs of this zone, each of which sends to a part of the targets of contended services.
	senders zoneSenders
	// room holds the requests to contended services that wait here; waiters are those of its items, and released those that left it
	// and that the caller has not taken yet.
	room     pawaiting.Room
	waiters  map[*pawaiting.Item]*Waiter
	released []*Waiter
	// mostUrgent and leastUrgent are the bounds of the priorities of the routes.
	mostUrgent, leastUrgent int
}

// service is the state of one service. Its targets are sorted by ID.
type service struct {
	name     string
	settings paroute.Service
	targets  []*target
	retries  paretry.Share
	// byDistance and byRegion group the targets; newTargets are those that joined and may not have received a request.
	byDistance [otherRegion + 1][]*target
	byRegion   map[string][]*target
	newTargets []newTarget
	// limited are the targets that named a limit.
	limited  []*target
	rankings rankingCache
	// excess is by how much runs take longer than usual, by region.
	excess map[string]*excessTime
	// rotation is the round-robin position for requests without an object. It starts at a different value on each
	// entry VM.
	rotation uint64
	// relays is set while requests for lost targets are handed to other entry VMs; relayNext and probeNext are the
	// round-robin positions among these and among targets to probe.
	relays               bool
	relayNext, probeNext int
	// suspectedAt is when targets were last probed because another one was lost.
	suspectedAt time.Time
	// tellsSlowness is set once a target reported how slow work is there.
	tellsSlowness bool
	// loads is what the targets' loads have in common; nil unless the service is contended.
	loads *paload.Model
}

// target is the state of a target from its start to its end; a restart under the same ID makes a new one.
type target struct {
	// state is what the fleet view says of the target.
	state pafleet.TargetState
	// hash is the hash of the target's ID.
	hash   uint64
	region string
	// distance is sameZone, sameRegion or otherRegion.
	distance int
	// excluded is set while the target drains, by its registration or its responses, or its availability zone is evacuated: it gets no
	// new requests.
	excluded bool

	// joinedAt is when the target joined a service that was already in use; zero if it was there before.
	joinedAt time.Time
	// used is set once this entry VM or a neighbour has sent the target a request.
	used     bool
	inFlight int
	// otherLoad is the number of requests that other entry VMs had at the target at otherLoadAt.
	otherLoad   float64
	otherLoadAt time.Time
	// service is the target's service, belief what is believed of the load and slowness if that is contended. lastStart is when
	// the latest request was sent.
	service   *service
	belief    paload.Belief
	lastStart time.Time
	// loadKey identifies the target's lifetime in notes on loads.
	loadKey uint32
	// fullSince is when the target was first seen without a free slot; zero while it has one.
	fullSince time.Time
	// failures counts connections that were refused or lost since the last complete response; no request is sent
	// before backoffUntil.
	failures     int
	backoffUntil time.Time
	// unresponsiveAt is when the target counts as unresponsive unless it answers before; zero while no request is
	// outstanding.
	unresponsiveAt time.Time
	// nextTryAt is when an unresponsive target may get the next request.
	nextTryAt time.Time
	errors    errorRate
	// shedStreak is how many requests in a row the target turned away with a free slot; others are preferred to it until avoidUntil.
	shedStreak int
	avoidUntil time.Time
	// Others are also preferred until hintUntil, as the target asked another entry VM for no requests at hintedAt. ranAt is when the
	// latest request was sent that the target ran.
	hintedAt, hintUntil, ranAt time.Time
	// suspectColdUntil and evacuatedColdUntil are until when this entry VM presumes the target cold, whatever the target
	// itself reports: after it refused a connection, and after the end of its zone's evacuation. reportedColdUntil is until when it
	// is cold by its responses.
	suspectColdUntil, evacuatedColdUntil, reportedColdUntil time.Time
	coldBucket                                              bucket
	warm                                                    warmSet
	// limit is the rate that the target names; unlimitedAt is when it last responded without one.
	limit       rateLimit
	unlimitedAt time.Time
	// pushback is the time for which the target wants no requests; nil if it takes them.
	pushback *pushback
	// path is this entry VM's path to the target; viaRelay is set while requests reach it through another entry VM.
	path     path
	viaRelay bool
	// sender is the hash of the entry VM of this zone that sends to the target, computed for one version of zoneSenders.
	sender, senderVersion uint64
}

// New returns a Balancer without targets; Update supplies them.
func New(c Config) *Balancer {
	return &Balancer{
		Config: c, room: pawaiting.Room{Config: c.Room}, hash: xxhash.Sum64String(c.Name), targets: map[string]*target{}, services: map[string]*service{},
		splits: map[string]*paroute.Splitter{}, runTimes: map[string]*runTimes{}, used: map[string]bool{},
		warmTargets: map[uint64][]*target{}, entryCount: 1, coldShares: map[string]coldShare{},
		relayStates: map[string]*relayState{}, pushbacks: map[lifetime]*pushback{}, drainings: map[lifetime]time.Time{},
		hints: map[lifetime]hint{}, waiters: map[*pawaiting.Item]*Waiter{}, loadKeys: map[uint32]*target{},
	}
}

// distance returns the distance of a target in the given zone and region.
func (b *Balancer) distance(zone, region string) int {
	return distanceBetween(b.Config.Zone, b.Config.Region, zone, region)
}

// distanceBetween returns the distance between two places, each a zone and its region.
func distanceBetween(zone, region, otherZone, otherOne string) int {
	switch {
	case zone == otherZone:
		return sameZone
	case region == otherOne:
		return sameRegion
	}
	return otherRegion
}

// The distances of a target from this entry VM.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
