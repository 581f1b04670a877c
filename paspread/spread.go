package paspread

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/paroll"

	"github.com/gravitational/trace"
)

// The limits of spreading.
const (
	// bootWait is how long a booting daemon waits for the answers of the neighbours it asked; longer than a message
	// to the furthest region and back, and short against the seconds a boot takes anyway.
	bootWait = time.Second
	// bootAlone is how long a booting daemon waits that has heard of no head. Without it, all daemons of a region that
	// reboots would read everything from the store, because at first each knows only itself and others without a head.
	bootAlone = 3 * time.Second
	// bootPeers are asked at boot; with more than one stale neighbour in a hundred, eight stale ones at once are not seen.
	bootPeers = 8
	// eagerNear and eagerFar are how many neighbours get an offer at once. Three in the region reach some 94 % of it
	// by themselves and adverts the rest; more would mostly find daemons that have it.
	eagerNear = 3
	eagerFar  = 2
	// fetchesAtOnce bounds the pieces under way, so that a boot does not take a neighbour's link for itself.
	fetchesAtOnce = 4
	// fetchWait is when a piece is asked of another source; the answer to the first still counts. A piece of 250 KB and
	// a round trip between regions take some 50 ms on a narrow link. With a second, the last of 192 daemons had a change
	// after 10.05 s when a fifth of the calls got lost.
	fetchWait = 500 * time.Millisecond
	// retryWait keeps sources that all failed from being asked in a loop.
	retryWait = 500 * time.Millisecond
	// maxPieces bounds a bundle, so that a false manifest can't fill the memory.
	maxPieces = 1 << 16
	// anyway is how often a neighbour is asked without a reason, should adverts not get through.
	anyway = 30 * time.Second
)

// Config says what a Spread belongs to.
type Config struct {
	Deployment string
	// Random spreads offers and fetches; it belongs to the Spread.
	Random *rand.Rand
	// Children returns the digests of the pieces that a piece names. Root is set for the one that the head's digest
	// names; pieces without children return none.
	Children func(root bool, piece []byte) ([]pabundle.Digest, error)
}

// Replicator is the configuration of one daemon. It is not safe for concurrent use.
type Replicator struct {
	config Config
	// head is in force; wanted is higher and being fetched.
	head, wanted pabundle.Head
	peers        Peers
	pieces       map[pabundle.Digest][]byte
	// previous are the pieces of the head before, kept for neighbours that still fetch it and for a roll-back.
	previous map[pabundle.Digest][]byte
	sources  []Source
	fetches  map[pabundle.Digest]*fetch
	walk     walk
	boot     boot
	askAt    time.Time
}

type boot struct {
	running, asked bool
	begun          time.Time
	open           []pabundle.EntryName
}

type fetch struct {
	tried []Source
	until time.Time
}

// New returns a Spread with no configuration.
func New(c Config) (*Replicator, error) {
	if c.Random == nil || c.Children == nil {
		return nil, trace.BadParameter("spread of %q: needs a random source and a reader of pieces", c.Deployment)
	}
	return &Replicator{config: c, pieces: map[pabundle.Digest][]byte{}, fetches: map[pabundle.Digest]*fetch{}}, nil
}

// Step takes one event at a time now and returns what to do.
func (s *Replicator) Step(now time.Time, v Event) []Command {
	var out []Command
	switch v := v.(type) {
	case Peers:
		s.peers = v
		if s.boot.running && !s.boot.asked {
			s.startBoot(now, &out)
		}
	case Boot:
		s.startBoot(now, &out)
	case StoreHeadRead:
		s.hear(Source{Store: true}, v.Head, &out)
	case NewerSequenceSeen:
		s.see(now, v, &out)
	case HeadReceived:
		s.boot.open = slices.DeleteFunc(s.boot.open, func(n pabundle.EntryName) bool { return n == v.Peer })
		s.hear(Source{Peer: v.Peer}, v.Head, &out)
	case FetchResult:
		s.take(now, v, &out)
	case Tick:
		s.askAnyway(now, &out)
	}
	s.pull(now, &out)
	return out
}

func (s *Replicator) startBoot(now time.Time, out *[]Command) {
	all := slices.Concat(s.peers.SameRegion, s.peers.OtherRegions)
	s.config.Random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), bootPeers)]
	s.boot = boot{running: true, asked: len(all) > 0, begun: now, open: all}
	for _, n := range all {
		*out = append(*out, Offer{To: n, Head: s.head})
	}
}

// waits reports whether a boot goes on waiting for answers: for all that were asked, but not for long once a head is known.
func (b boot) waits(now time.Time, wanted pabundle.Head) bool {
	if wanted.Sequence == 0 {
		return now.Before(b.begun.Add(bootAlone))
	}
	return len(b.open) > 0 && now.Before(b.begun.Add(bootWait))
}

// see asks a peer that is ahead for its head, unless a head as high is being fetched already.
func (s *Replicator) see(now time.Time, v NewerSequenceSeen, out *[]Command) {
	if v.Sequence <= max(s.head.Sequence, s.wanted.Sequence) || now.Before(s.askAt) {
		return
	}
	s.askAt = now.Add(100 * time.Millisecond)
	*out = append(*out, Offer{To: v.Peer, Head: s.head})
}

// askAnyway compares heads with a random neighbour now and then.
func (s *Replicator) askAnyway(now time.Time, out *[]Command) {
	if now.Before(s.askAt.Add(anyway)) || len(s.peers.SameRegion)+len(s.peers.OtherRegions) == 0 {
		return
	}
	s.askAt = now
	all := slices.Concat(s.peers.SameRegion, s.peers.OtherRegions)
	*out = append(*out, Offer{To: all[s.config.Random.IntN(len(all))], Head: s.head})
}

// hear takes in a head. Only a higher sequence counts, whoever says it: this is what keeps a daemon that was cut off,
// or a store that was restored from an old copy, from setting anyone back.
func (s *Replicator) hear(from Source, h pabundle.Head, out *[]Command) {
	if h.Sequence == 0 {
		return
	}
	switch paroll.Accept(s.head, h, s.config.Deployment) {
	case paroll.Take:
		s.want(from, h)
	case paroll.Foreign, paroll.Malformed:
		*out = append(*out, Rejected{From: from, Fault: ForeignHead})
	case paroll.Fork:
		*out = append(*out, Rejected{From: from, Fault: ConflictingHead})
	}
}

// want begins to fetch a head that goes before the one in force, or adds a source of the one wanted.
func (s *Replicator) want(from Source, h pabundle.Head) {
	switch {
	case h.Sequence < s.wanted.Sequence:
	case h.Sequence == s.wanted.Sequence:
		if h.Digest == s.wanted.Digest && !slices.Contains(s.sources, from) {
			s.sources = append(s.sources, from)
		}
	default:
		s.wanted = h
		s.sources = []Source{from}
		s.fetches = map[pabundle.Digest]*fetch{}
		s.walk = walk{whole: map[pabundle.Digest][]byte{}}
		s.reach(h.Digest)
	}
}

// pull fetches what is missing of the wanted head, or puts it in force if nothing is.
func (s *Replicator) pull(now time.Time, out *[]Command) {
	if s.boot.running && s.boot.waits(now, s.wanted) {
		return
	}
	s.boot.running = false
	switch {
	case s.wanted.Sequence <= s.head.Sequence:
	case s.walk.err != nil:
		*out = append(*out, Rejected{From: s.sources[0], Fault: UnreadablePiece})
		s.wanted, s.sources = s.head, nil
	case len(s.walk.missing) == 0:
		s.adopt(out)
	default:
		s.fetch(now, out)
	}
}

// walk is the way from the wanted head's digest through the pieces.
type walk struct {
	whole   map[pabundle.Digest][]byte
	missing []pabundle.Digest
	err     error
}

// reach takes a piece and all that it names into the walk, as far as they are held.
func (s *Replicator) reach(d pabundle.Digest) {
	open := []pabundle.Digest{d}
	for len(open) > 0 && s.walk.err == nil {
		d := open[len(open)-1]
		open = open[:len(open)-1]
		if _, ok := s.walk.whole[d]; ok {
			continue
		}
		data, ok := s.held(d)
		if !ok {
			if !slices.Contains(s.walk.missing, d) {
				s.walk.missing = append(s.walk.missing, d)
			}
			continue
		}
		s.walk.whole[d] = data
		children, err := s.config.Children(d == s.wanted.Digest, data)
		if len(s.walk.whole)+len(s.walk.missing)+len(children) > maxPieces {
			err = trace.LimitExceeded("bundle %s of more than %d pieces", s.wanted.Digest, maxPieces)
		}
		s.walk.err = err
		open = append(open, children...)
	}
}

func (s *Replicator) held(d pabundle.Digest) ([]byte, bool) {
	if b, ok := s.pieces[d]; ok {
		return b, true
	}
	b, ok := s.previous[d]
	return b, ok
}

// fetch keeps some pieces under way, each from a source that was not tried for it yet.
func (s *Replicator) fetch(now time.Time, out *[]Command) {
	for _, d := range s.walk.missing[:min(len(s.walk.missing), fetchesAtOnce)] {
		f := s.fetches[d]
		if f == nil {
			f = &fetch{}
			s.fetches[d] = f
		}
		if now.Before(f.until) {
			continue
		}
		from, ok := s.source(f)
		if !ok {
			f.tried, f.until = nil, now.Add(retryWait)
			continue
		}
		f.tried = append(f.tried, from)
		f.until = now.Add(fetchWait)
		*out = append(*out, Fetch{From: from, Digest: d})
	}
}

// source returns a source for a piece: a peer that is known to have the head, else the store if the head came from
// there, else any neighbour, else the store. Peers go first because after the reboot of a region all its daemons have
// everything to fetch, and the store's reads are for the whole deployment.
func (s *Replicator) source(f *fetch) (Source, bool) {
	untried := func(c Source) bool { return !slices.Contains(f.tried, c) }
	peer := func(c Source) bool { return !c.Store && untried(c) }
	if i := slices.IndexFunc(s.sources, peer); i >= 0 {
		return s.sources[i], true
	}
	store := Source{Store: true}
	if slices.Contains(s.sources, store) && untried(store) {
		return store, true
	}
	const draws = 4
	for range draws {
		if len(s.peers.SameRegion) == 0 {
			break
		}
		if c := (Source{Peer: s.peers.SameRegion[s.config.Random.IntN(len(s.peers.SameRegion))]}); untried(c) && len(f.tried) < draws {
			return c, true
		}
	}
	return store, untried(store)
}

// take takes in a piece, or moves on to another source.
func (s *Replicator) take(now time.Time, v FetchResult, out *[]Command) {
	f := s.fetches[v.Digest]
	if f == nil {
		return
	}
	fault := check(v)
	if v.Data != nil && fault == 0 {
		s.pieces[v.Digest] = v.Data
		delete(s.fetches, v.Digest)
		s.walk.missing = slices.DeleteFunc(s.walk.missing, func(d pabundle.Digest) bool { return d == v.Digest })
		s.reach(v.Digest)
		return
	}
	if fault != 0 {
		*out = append(*out, Rejected{From: v.From, Fault: fault})
	}
	f.until = now
}

func check(v FetchResult) Fault {
	if v.Data == nil {
		return 0
	}
	if len(v.Data) > MaxPieceBytes {
		return OversizedPiece
	}
	if PieceDigest(v.Data) != v.Digest {
		return CorruptPiece
	}
	return 0
}

// PieceDigest returns the digest by which a piece is named.
func PieceDigest(data []byte) pabundle.Digest {
	h := sha256.Sum256(data)
	return pabundle.Digest(hex.EncodeToString(h[:]))
}

// adopt puts the wanted head in force and offers it to neighbours.
func (s *Replicator) adopt(out *[]Command) {
	s.head = s.wanted
	s.previous, s.pieces = s.pieces, s.walk.whole
	*out = append(*out, Adopted{Head: s.head, Pieces: s.pieces})
	s.offer(s.peers.SameRegion, eagerNear, out)
	s.offer(s.peers.OtherRegions, eagerFar, out)
	s.sources, s.fetches, s.walk = nil, map[pabundle.Digest]*fetch{}, walk{}
}

func (s *Replicator) offer(to []pabundle.EntryName, n int, out *[]Command) {
	to = slices.Clone(to)
	s.config.Random.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	for _, p := range to[:min(len(to), n)] {
		if !slices.Contains(s.sources, Source{Peer: p}) {
			*out = append(*out, Offer{To: p, Head: s.head})
		}
	}
}
