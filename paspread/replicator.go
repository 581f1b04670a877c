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

// The limits of the distribution.
const (
	// bootWait is how long a booting daemon waits for the answers of the peers that it asked: longer than a round trip
	// to the furthest region, and short against the seconds that a boot takes anyway.
	bootWait = time.Second
	// bootWaitNoHead is how long a booting daemon waits if it has heard of no head. Without it, all daemons of a
	// rebooting region would read everything from the store, because at first each knows only itself and peers without
	// a head.
	bootWaitNoHead = 3 * time.Second
	// bootPeers is how many peers are asked at boot; even with more than one stale peer in a hundred, eight stale ones
	// at once do not occur.
	bootPeers = 8
	// localOffers and remoteOffers are how many peers get an offer as soon as a head is adopted. Three in the region
	// reach some 94 % of it by themselves, and the sequence in membership messages the rest; more offers would mostly
	// reach daemons that already have the head.
	localOffers  = 3
	remoteOffers = 2
	// maxConcurrentFetches bounds the fetches in flight, so that a boot does not saturate a peer's link.
	maxConcurrentFetches = 4
	// fetchTimeout is when a piece is requested from another source; a late answer of the first still counts. A piece
	// of 250 KB and a round trip between regions take some 50 ms on a narrow link. With a timeout of 1 s the last of
	// 192 daemons had a change only after 10.05 s when a fifth of the calls were lost.
	fetchTimeout = 500 * time.Millisecond
	// retryDelay is the pause after all sources of a piece have failed.
	retryDelay = 500 * time.Millisecond
	// maxPieces bounds a bundle, so that a forged manifest can't exhaust the memory.
	maxPieces = 1 << 16
	// pollInterval is how often heads are compared with a random peer, in case membership messages don't arrive.
	pollInterval = 30 * time.Second
)

// Config configures a Replicator.
type Config struct {
	Deployment string
	// Random chooses the peers for offers and fetches; the Replicator must be its only user.
	Random *rand.Rand
	// Children returns the digests of the pieces that a piece refers to, none for a leaf. Root is set for the piece
	// that the head's digest names.
	Children func(root bool, piece []byte) ([]pabundle.Digest, error)
}

// Replicator holds the configuration of one daemon and fetches newer ones. It is not safe for concurrent use.
type Replicator struct {
	config Config
	// head is in force; wanted has a higher sequence and is being fetched.
	head, wanted pabundle.Head
	peers        Peers
	pieces       map[pabundle.Digest][]byte
	// previous holds the pieces of the head before, for peers that still fetch it and for a roll-back.
	previous      map[pabundle.Digest][]byte
	sources       []Source
	fetches       map[pabundle.Digest]*fetch
	traversal     traversal
	boot          boot
	noOfferBefore time.Time
}

type boot struct {
	running, asked bool
	startedAt      time.Time
	pending        []pabundle.EntryName
}

type fetch struct {
	tried   []Source
	retryAt time.Time
}

// New returns a Replicator without a configuration. It fails if Random or Children is missing.
func New(c Config) (*Replicator, error) {
	if c.Random == nil || c.Children == nil {
		return nil, trace.BadParameter("replicator of deployment %q: Random and Children must be set", c.Deployment)
	}
	return &Replicator{config: c, pieces: map[pabundle.Digest][]byte{}, fetches: map[pabundle.Digest]*fetch{}}, nil
}

// Step applies one event at time now and returns the commands to perform.
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
		s.considerHead(Source{Store: true}, v.Head, &out)
	case NewerSequenceSeen:
		s.requestNewerHead(now, v, &out)
	case HeadReceived:
		s.boot.pending = slices.DeleteFunc(s.boot.pending, func(n pabundle.EntryName) bool { return n == v.Peer })
		s.considerHead(Source{Peer: v.Peer}, v.Head, &out)
	case FetchResult:
		s.storePiece(now, v, &out)
	case Tick:
		s.pollPeer(now, &out)
	}
	s.advance(now, &out)
	return out
}

func (s *Replicator) startBoot(now time.Time, out *[]Command) {
	all := slices.Concat(s.peers.SameRegion, s.peers.OtherRegions)
	s.config.Random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), bootPeers)]
	s.boot = boot{running: true, asked: len(all) > 0, startedAt: now, pending: all}
	for _, n := range all {
		*out = append(*out, Offer{To: n, Head: s.head})
	}
}

// waits reports whether a boot still waits: for the answers of all peers asked, up to bootWait once a head is known.
func (b boot) waits(now time.Time, wanted pabundle.Head) bool {
	if wanted.Sequence == 0 {
		return now.Before(b.startedAt.Add(bootWaitNoHead))
	}
	return len(b.pending) > 0 && now.Before(b.startedAt.Add(bootWait))
}

// requestNewerHead asks a peer with a higher sequence for its head, unless a head at least as high is being fetched.
func (s *Replicator) requestNewerHead(now time.Time, v NewerSequenceSeen, out *[]Command) {
	if v.Sequence <= max(s.head.Sequence, s.wanted.Sequence) || now.Before(s.noOfferBefore) {
		return
	}
	s.noOfferBefore = now.Add(100 * time.Millisecond)
	*out = append(*out, Offer{To: v.Peer, Head: s.head})
}

// pollPeer compares heads with a random peer every pollInterval.
func (s *Replicator) pollPeer(now time.Time, out *[]Command) {
	if now.Before(s.noOfferBefore.Add(pollInterval)) || len(s.peers.SameRegion)+len(s.peers.OtherRegions) == 0 {
		return
	}
	s.noOfferBefore = now
	all := slices.Concat(s.peers.SameRegion, s.peers.OtherRegions)
	*out = append(*out, Offer{To: all[s.config.Random.IntN(len(all))], Head: s.head})
}

// considerHead handles a head from a peer or the store. Only a higher sequence is accepted, whatever its source: a
// daemon that was partitioned, or a store restored from an old backup, can't roll anyone back.
func (s *Replicator) considerHead(from Source, h pabundle.Head, out *[]Command) {
	if h.Sequence == 0 {
		return
	}
	switch paroll.Accept(s.head, h, s.config.Deployment) {
	case paroll.Take:
		s.fetchHead(from, h)
	case paroll.Foreign, paroll.Malformed:
		*out = append(*out, Rejected{From: from, Fault: ForeignHead})
	case paroll.Fork:
		*out = append(*out, Rejected{From: from, Fault: ConflictingHead})
	}
}

// fetchHead starts fetching a head that is newer than the wanted one, or adds a source of the wanted one.
func (s *Replicator) fetchHead(from Source, h pabundle.Head) {
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
		s.traversal = traversal{pieces: map[pabundle.Digest][]byte{}}
		s.visit(h.Digest)
	}
}

// advance fetches missing pieces of the wanted head, or puts it in force if none is missing.
func (s *Replicator) advance(now time.Time, out *[]Command) {
	if s.boot.running && s.boot.waits(now, s.wanted) {
		return
	}
	s.boot.running = false
	switch {
	case s.wanted.Sequence <= s.head.Sequence:
	case s.traversal.err != nil:
		*out = append(*out, Rejected{From: s.sources[0], Fault: UnreadablePiece})
		s.wanted, s.sources = s.head, nil
	case len(s.traversal.missing) == 0:
		s.adopt(out)
	default:
		s.fetch(now, out)
	}
}

// traversal is the state of the walk from the wanted head's digest through its pieces.
type traversal struct {
	pieces  map[pabundle.Digest][]byte
	missing []pabundle.Digest
	err     error
}

// visit adds a piece and its descendants to the traversal, as far as they are held, and notes missing ones.
func (s *Replicator) visit(d pabundle.Digest) {
	open := []pabundle.Digest{d}
	for len(open) > 0 && s.traversal.err == nil {
		d := open[len(open)-1]
		open = open[:len(open)-1]
		if _, ok := s.traversal.pieces[d]; ok {
			continue
		}
		data, ok := s.held(d)
		if !ok {
			if !slices.Contains(s.traversal.missing, d) {
				s.traversal.missing = append(s.traversal.missing, d)
			}
			continue
		}
		s.traversal.pieces[d] = data
		children, err := s.config.Children(d == s.wanted.Digest, data)
		if len(s.traversal.pieces)+len(s.traversal.missing)+len(children) > maxPieces {
			err = trace.LimitExceeded("bundle %s has more than %d pieces", s.wanted.Digest, maxPieces)
		}
		s.traversal.err = err
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

// fetch keeps some fetches in flight, each from a source not yet tried for its piece.
func (s *Replicator) fetch(now time.Time, out *[]Command) {
	for _, d := range s.traversal.missing[:min(len(s.traversal.missing), maxConcurrentFetches)] {
		f := s.fetches[d]
		if f == nil {
			f = &fetch{}
			s.fetches[d] = f
		}
		if now.Before(f.retryAt) {
			continue
		}
		from, ok := s.pickSource(f)
		if !ok {
			f.tried, f.retryAt = nil, now.Add(retryDelay)
			continue
		}
		f.tried = append(f.tried, from)
		f.retryAt = now.Add(fetchTimeout)
		*out = append(*out, Fetch{From: from, Digest: d})
	}
}

// pickSource returns a source for a piece: a peer known to have the head, else the store if the head came from there,
// else a random peer of the region, else the store. Peers are preferred because after the reboot of a region all its
// daemons fetch everything, and the store's read capacity is shared by the whole deployment.
func (s *Replicator) pickSource(f *fetch) (Source, bool) {
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

// storePiece stores a valid piece; after a failure the piece is fetched from another source.
func (s *Replicator) storePiece(now time.Time, v FetchResult, out *[]Command) {
	f := s.fetches[v.Digest]
	if f == nil {
		return
	}
	fault := check(v)
	if v.Data != nil && fault == 0 {
		s.pieces[v.Digest] = v.Data
		delete(s.fetches, v.Digest)
		s.traversal.missing = slices.DeleteFunc(s.traversal.missing, func(d pabundle.Digest) bool { return d == v.Digest })
		s.visit(v.Digest)
		return
	}
	if fault != 0 {
		*out = append(*out, Rejected{From: v.From, Fault: fault})
	}
	f.retryAt = now
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

// PieceDigest returns the SHA-256 of a piece in hexadecimal, by which it is named.
func PieceDigest(data []byte) pabundle.Digest {
	h := sha256.Sum256(data)
	return pabundle.Digest(hex.EncodeToString(h[:]))
}

// adopt puts the wanted head in force and offers it to peers.
func (s *Replicator) adopt(out *[]Command) {
	s.head = s.wanted
	s.previous, s.pieces = s.pieces, s.traversal.pieces
	*out = append(*out, Adopted{Head: s.head, Pieces: s.pieces})
	s.offer(s.peers.SameRegion, localOffers, out)
	s.offer(s.peers.OtherRegions, remoteOffers, out)
	s.sources, s.fetches, s.traversal = nil, map[pabundle.Digest]*fetch{}, traversal{}
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
