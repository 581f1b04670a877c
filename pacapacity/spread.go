package pacapacity

import (
	"fmt"
	"strings"

	"papayahead/pabundle"
	"papayahead/pamember"
	"papayahead/paspread"

	"google.golang.org/protobuf/proto"
)

// deployment is the name of the one that a Fleet runs.
const deployment = "capacity"

// Store stands for the platform's store: a head and pieces, with its calls counted.
type Store struct {
	Head   pabundle.Head
	Pieces map[pabundle.Digest][]byte
	// Down makes all calls fail; watches then have to be set anew.
	Down bool
	// Reads counts calls, Watches those that wait now.
	Reads, Watches int
}

// Put stores a bundle of pieces and its head under the next sequence. The first piece names the others.
func (s *Store) Put(pieces ...[]byte) {
	if s.Pieces == nil {
		s.Pieces = map[pabundle.Digest][]byte{}
	}
	var names []string
	for _, p := range pieces {
		d := paspread.PieceDigest(p)
		s.Pieces[d] = p
		names = append(names, string(d))
	}
	manifest := []byte(strings.Join(names, "\n"))
	d := paspread.PieceDigest(manifest)
	s.Pieces[d] = manifest
	next := s.Head.Sequence + 1
	s.Head = pabundle.Head{Deployment: deployment, Sequence: next, Digest: d, Previous: s.Head.Digest, RollID: fmt.Sprintf("roll-%d", next), Operator: "operator"}
}

// children reads the manifest that Put writes.
func children(root bool, piece []byte) ([]pabundle.Digest, error) {
	if !root || len(piece) == 0 {
		return nil, nil
	}
	var all []pabundle.Digest
	for n := range strings.SplitSeq(string(piece), "\n") {
		all = append(all, pabundle.Digest(n))
	}
	return all, nil
}

// tickSpread keeps a node's Spread up to date with its neighbours, and lets watchers of the store see its head.
func (f *Fleet) tickSpread(n *Node) {
	if n.Spread == nil {
		return
	}
	if n.ticks++; n.ticks%5 != 1 {
		f.doSpread(n, paspread.Tick{})
		return
	}
	if v := n.View(f.Now); v.Version != n.view || !n.booted {
		n.view = v.Version
		near, far := n.Peers()
		f.doSpread(n, paspread.Peers{SameRegion: near, OtherRegions: far})
	}
	if !n.booted {
		n.booted = true
		f.doSpread(n, paspread.Boot{})
	}
	f.doSpread(n, paspread.Tick{})
	if !f.Store.Down && n.Spread.Booted() && f.Store.Head.Sequence > n.Spread.Head().Sequence && paspread.IsWatcher(n.View(f.Now)) {
		if f.Cut == nil || !f.Cut(pamember.Identity{}, n.Identity) {
			f.doSpread(n, paspread.StoreHeadRead{Head: f.Store.Head})
		}
	}
}

// doSpread hands a node's Spread one event and carries out its commands.
func (f *Fleet) doSpread(n *Node, v paspread.Event) {
	for _, c := range n.Spread.Step(f.Now, v) {
		switch c := c.(type) {
		case paspread.Offer:
			f.offer(n, c)
		case paspread.Fetch:
			f.fetch(n, c)
		case paspread.Adopted:
			n.InForce[c.Head.Sequence] = f.Now
			f.Do(n, pamember.SetConfigVersion{Config: pamember.ConfigVersion{Sequence: c.Head.Sequence, Digest: c.Head.Digest}})
		}
	}
}

func (f *Fleet) offer(n *Node, c paspread.Offer) {
	size := func(from *Node, h pabundle.Head) int { return proto.Size(paspread.ToWire(from.Identity.Name, h)) }
	f.carry(n, f.byName[c.To], size(n, c.Head), letter{spread: func(to *Node) {
		f.doSpread(to, paspread.HeadReceived{Peer: n.Identity.Name, Head: c.Head})
		h := to.Spread.Head()
		f.carry(to, n, size(to, h), letter{spread: func(n *Node) { f.doSpread(n, paspread.HeadReceived{Peer: to.Identity.Name, Head: h}) }})
	}})
}

// digestBytes is a piece's name on the wire, with its framing.
const digestBytes = 70

func (f *Fleet) fetch(n *Node, c paspread.Fetch) {
	if c.From.Store {
		answer := paspread.FetchResult{From: c.From, Digest: c.Digest}
		if !f.Store.Down {
			f.Store.Reads++
			answer.Data = f.Store.Pieces[c.Digest]
		}
		n.Received += len(answer.Data)
		f.carry(n, n, 0, letter{spread: func(n *Node) { f.doSpread(n, answer) }})
		return
	}
	f.carry(n, f.byName[c.From.Peer], digestBytes, letter{spread: func(to *Node) {
		data, _ := to.Spread.Piece(c.Digest)
		f.carry(to, n, len(data), letter{spread: func(n *Node) {
			f.doSpread(n, paspread.FetchResult{From: c.From, Digest: c.Digest, Data: data})
		}})
	}})
}
