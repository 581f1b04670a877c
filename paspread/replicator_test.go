package paspread_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"papayahead/pabundle"
	"papayahead/pacapacity"
	"papayahead/paspread"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// TestMain fixes the seed, so that CI has the same verdict every run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.steps", "100"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// children decodes a root piece that lists digests, one a line.
func children(root bool, piece []byte) ([]pabundle.Digest, error) {
	if !root {
		return nil, nil
	}
	var all []pabundle.Digest
	for n := range strings.SplitSeq(string(piece), "\n") {
		if len(n) != 64 {
			return nil, fmt.Errorf("not a digest: %q", n)
		}
		all = append(all, pabundle.Digest(n))
	}
	return all, nil
}

// bundle returns the head and pieces of a sequence.
func bundle(n pabundle.Sequence) (pabundle.Head, map[pabundle.Digest][]byte) {
	pieces := map[pabundle.Digest][]byte{}
	put := func(b []byte) pabundle.Digest {
		d := paspread.PieceDigest(b)
		pieces[d] = b
		return d
	}
	root := put(fmt.Appendf(nil, "%s\n%s", put([]byte("blocks")), put(fmt.Appendf(nil, "services %d", n))))
	return pabundle.Head{Deployment: "d", Sequence: n, Digest: root}, pieces
}

func newReplicator(t interface{ Fatal(...any) }) *paspread.Replicator {
	s, err := paspread.New(paspread.Config{Deployment: "d", Random: rand.New(rand.NewPCG(1, 2)), Children: children})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serve answers fetches from pieces until there are none left, and returns the sequences adopted.
func serve(s *paspread.Replicator, now time.Time, out []paspread.Command, pieces map[pabundle.Digest][]byte) (adopted []pabundle.Sequence) {
	for len(out) > 0 {
		c := out[0]
		out = out[1:]
		switch c := c.(type) {
		case paspread.Fetch:
			out = append(out, s.Step(now, paspread.FetchResult{From: c.From, Digest: c.Digest, Data: pieces[c.Digest]})...)
		case paspread.Adopted:
			adopted = append(adopted, c.Head.Sequence)
		}
	}
	return adopted
}

// Guards against a boot that trusts the first answer. The store is down, and the peer that answers first was
// partitioned for a day: the entry VM would use yesterday's bundle until the next change.
func TestBootWaitsForTheHighest(t *testing.T) {
	s := newReplicator(t)
	old, oldPieces := bundle(3)
	high, pieces := bundle(5)
	for d, p := range oldPieces {
		pieces[d] = p
	}
	s.Step(epoch, paspread.Peers{SameRegion: []pabundle.EntryName{"stale", "fresh"}})
	var adopted []pabundle.Sequence
	step := func(after time.Duration, v paspread.Event) {
		adopted = append(adopted, serve(s, epoch.Add(after), s.Step(epoch.Add(after), v), pieces)...)
	}
	step(0, paspread.Boot{})
	step(10*time.Millisecond, paspread.HeadReceived{Peer: "stale", Head: old})
	step(200*time.Millisecond, paspread.Tick{})
	step(300*time.Millisecond, paspread.HeadReceived{Peer: "fresh", Head: high})
	if len(adopted) != 1 || adopted[0] != 5 {
		t.Errorf("adopted %v, want only 5", adopted)
	}
}

// Peers and the store send valid, foreign, corrupt and late data in random order. The sequence in force never falls, an
// adopted bundle is complete and matches the head's digest, and a valid head offered at the end with correct answers is
// adopted.
func TestReplicatorFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newReplicator(t)
		now := epoch
		heads, pieces := []pabundle.Head{{}}, map[pabundle.Digest][]byte{}
		for n := pabundle.Sequence(1); n <= 6; n++ {
			h, p := bundle(n)
			heads = append(heads, h)
			for d, b := range p {
				pieces[d] = b
			}
		}
		peers := []pabundle.EntryName{"a", "b", "c"}
		s.Step(now, paspread.Peers{SameRegion: peers})
		var open []paspread.Fetch
		highest := pabundle.Sequence(0)
		take := func(out []paspread.Command) {
			for _, c := range out {
				switch c := c.(type) {
				case paspread.Fetch:
					open = append(open, c)
				case paspread.Adopted:
					if c.Head.Sequence <= highest || c.Head.Deployment != "d" || c.Head.Digest != heads[c.Head.Sequence].Digest {
						t.Fatalf("adopted %v after %d", c.Head, highest)
					}
					highest = c.Head.Sequence
					_, want := bundle(highest)
					for d, p := range want {
						if string(c.Pieces[d]) != string(p) {
							t.Fatalf("piece %s of %d is missing or wrong", d, highest)
						}
					}
				}
			}
		}
		head := func(t *rapid.T) pabundle.Head {
			h := heads[rapid.IntRange(0, 5).Draw(t, "sequence")]
			if h.Sequence > 0 && rapid.IntRange(0, 9).Draw(t, "foreign") == 0 {
				h.Deployment = "other"
			}
			return h
		}
		peer := rapid.SampledFrom(peers)
		t.Repeat(map[string]func(*rapid.T){
			"offered": func(t *rapid.T) { take(s.Step(now, paspread.HeadReceived{Peer: peer.Draw(t, "peer"), Head: head(t)})) },
			"found":   func(t *rapid.T) { take(s.Step(now, paspread.StoreHeadRead{Head: head(t)})) },
			"boot":    func(*rapid.T) { take(s.Step(now, paspread.Boot{})) },
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				take(s.Step(now, paspread.Tick{}))
			},
			"answers": func(*rapid.T) {
				for len(open) > 0 {
					c := open[0]
					open = open[1:]
					take(s.Step(now, paspread.FetchResult{From: c.From, Digest: c.Digest, Data: pieces[c.Digest]}))
				}
			},
			"answer": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("no fetch in flight")
				}
				c := rapid.SampledFrom(open).Draw(t, "fetch")
				data := pieces[c.Digest]
				switch rapid.SampledFrom([]string{"true", "true", "true", "true", "true", "missing", "truncated", "corrupt", "oversized"}).Draw(t, "answer") {
				case "missing":
					data = nil
				case "truncated":
					data = data[:len(data)-1]
				case "corrupt":
					data = append([]byte("x"), data...)
				case "oversized":
					data = make([]byte, paspread.MaxPieceBytes+1)
				}
				take(s.Step(now, paspread.FetchResult{From: c.From, Digest: c.Digest, Data: data}))
			},
			"": func(t *rapid.T) {
				if s.Head().Sequence != highest {
					t.Fatalf("sequence in force: %d, adopted: %d", s.Head().Sequence, highest)
				}
			},
		})
		now = now.Add(10 * time.Second)
		out := s.Step(now, paspread.HeadReceived{Peer: "a", Head: heads[6]})
		if got := serve(s, now, out, pieces); len(got) != 1 || got[0] != 6 {
			t.Fatalf("adopted %v at the end, want 6", got)
		}
	})
}

// The store is down while a zone's daemons are replaced: the new ones have to get the configuration from peers. The
// next change then has to reach all daemons within seconds at 5 % message loss.
func TestChangeReachesAll(t *testing.T) {
	f := &pacapacity.Fleet{Random: rand.New(rand.NewPCG(1, 7)), Now: epoch, Store: &pacapacity.Store{}}
	if err := f.Build(pacapacity.Shape{Regions: 4, ZonesPerRegion: 2, PerZone: 5}); err != nil {
		t.Fatal(err)
	}
	f.Loss = 0.05
	f.Run(20 * time.Second)
	f.Store.Put([]byte("services 1"), []byte("blocks"))
	f.Run(10 * time.Second)
	f.Store.Down = true
	for _, n := range f.Nodes[:5] {
		if err := f.Restart(n); err != nil {
			t.Fatal(err)
		}
	}
	f.Run(15 * time.Second)
	for _, n := range f.Nodes {
		if got := n.Spread.Head().Sequence; got != 1 {
			t.Errorf("with the store down %s has sequence %d, want 1", n.Identity.Name, got)
		}
	}
	f.Store.Down = false
	f.Store.Put([]byte("services 2"), []byte("blocks"))
	f.Run(10 * time.Second)
	for _, n := range f.Nodes {
		if got := n.Spread.Head().Sequence; got != 2 {
			t.Errorf("%s has sequence %d, want 2", n.Identity.Name, got)
		}
	}
}
