package pabundle

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func exampleFile(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("../examples/instituto.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Check must report all errors of structure and of values in one run, each with its path and position.
// If it stopped at the first, an operator would correct and check a bundle once for each error, which
// delays an urgent roll-out.
func TestCheckReportsEveryErrorWithItsPosition(t *testing.T) {
	g := NewWithT(t)
	data := string(exampleFile(t))
	edit := func(old, with string) {
		g.Expect(data).To(ContainSubstring(old))
		data = strings.Replace(data, old, with, 1)
	}
	edit(`"Format": 1`, `"Format": 1, "Format": 2`)
	edit(`"First": "Headroom"`, `"first": "Headroom"`)
	edit(`"Reserve": 0.2`, `"Reserve": 0.9`)
	edit(`"Capacity": 280000000`, `"Capacity": "280"`)
	edit(`"Timeout": "2s"`, `"Timeout": "2"`)
	edit(`"Share": 0.1`, `"Share": 1.5`)
	edit(`"127.0.0.1:21001"`, `"224.0.0.1:21001"`)
	edit(`"Zone": "centro-2"`, `"Zone": "centro-3"`)
	edit(`"10.2.0.0/16"`, `"10.2.0.1/16"`)
	edit(`"From": "norte",
          "To": "norte",
          "Share": 1`, `"From": "norte", "To": "norte", "Share": 0.5`)
	_, errs := Check([]byte(data + "x"))
	var got []string
	for _, f := range errs {
		g.Expect(f.Line).To(BeNumerically(">", 0))
		lines := strings.Split(data, "\n")
		got = append(got, f.Path+" at "+strings.TrimSpace(lines[f.Line-1][f.Column-1:]))
	}
	for _, want := range []string{
		`Format at "Format": 2`, `Policy.first at "first"`, `Policy.First at {`, `Policy.Reserve at 0.9`,
		`Links[0].Capacity at "280"`, `Services[0].Timeout at "2"`, `Services[0].Shift.Share at 1.5`,
		`Services[0].Targets[0].Address at "224.0.0.1:21001"`, `Services[0].Targets[1].Zone at "centro-3"`,
		`Services[0].Shares at [`, `ClientBlocks[3].Prefix at "10.2.0.1/16"`, ` at `,
	} {
		g.Expect(got).To(ContainElement(HavePrefix(want)))
	}
	g.Expect(got).To(HaveLen(12), strings.Join(got, "\n"))
}

func TestSplitAndAssembleRoundTrip(t *testing.T) {
	g := NewWithT(t)
	b, errs := Check(exampleFile(t))
	g.Expect(errs).To(BeEmpty())
	s, err := b.Split()
	g.Expect(err).NotTo(HaveOccurred())
	got, err := Assemble(s.Digest, getFrom(s.Pieces))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Diff(b, got)).To(BeEmpty())
	b.Links[0], b.Links[5] = b.Links[5], b.Links[0]
	g.Expect(b.Digest()).To(Equal(s.Digest), "the digest must not depend on the order of a list")
	b.Links[0].Capacity++
	g.Expect(b.Digest()).NotTo(Equal(s.Digest))
	g.Expect(Diff(got, b)).To(HaveLen(1))
}

// getFrom returns a get function for Assemble and Update that reads from a map.
func getFrom(pieces map[Digest][]byte) func(Digest) ([]byte, bool) {
	return func(d Digest) ([]byte, bool) { data, ok := pieces[d]; return data, ok }
}

// Daemons fetch pieces from the store and from neighbours. Assemble must refuse a piece that is truncated,
// corrupt or oversized, and a manifest with lists in another order than the canonical one. Otherwise
// requests would be routed by a configuration that nobody signed off.
func TestAssembleRefusesDamagedPieces(t *testing.T) {
	g := NewWithT(t)
	b, _ := Check(exampleFile(t))
	s, err := b.Split()
	g.Expect(err).NotTo(HaveOccurred())
	for d, data := range s.Pieces {
		flipped := append([]byte{}, data...)
		flipped[len(data)/2] ^= 1
		padded := append(data[:len(data):len(data)], ' ')
		for _, bad := range [][]byte{data[:len(data)-1], flipped, padded, make([]byte, MaxPieceSize+1), {}} {
			damaged := map[Digest][]byte{}
			for k, v := range s.Pieces {
				damaged[k] = v
			}
			damaged[d] = bad
			_, err := Assemble(s.Digest, getFrom(damaged))
			var p *PieceError
			g.Expect(errors.As(err, &p)).To(BeTrue(), "%d bytes for %s: %v", len(bad), d, err)
			g.Expect(p.Digest).To(Equal(d))
			g.Expect(p.Problem == Oversize).To(Equal(len(bad) > MaxPieceSize))
		}
	}
	m := s.Manifest
	m.Services[0], m.Services[1] = m.Services[1], m.Services[0]
	other := s.add(m)
	_, err = Assemble(other, getFrom(s.Pieces))
	g.Expect(err).To(MatchError(ContainSubstring("not the canonical ones")))
}

// makeBlocks returns n client blocks of 256 IPv4 addresses each.
func makeBlocks(n int) []ClientBlock {
	all := make([]ClientBlock, n)
	for i := range all {
		a := netip.AddrFrom4([4]byte{byte(i>>16) + 11, byte(i >> 8), byte(i), 0})
		all[i] = ClientBlock{netip.PrefixFrom(a, 24), "centro"}
	}
	return all
}

// A small change of the client blocks must add only a few pieces. If each of 4,900 changes a day
// transferred the whole table of 3.9 million blocks, each daemon would receive gigabytes a day.
func TestSmallChangeAddsFewPieces(t *testing.T) {
	g := NewWithT(t)
	b, _ := Check(exampleFile(t))
	b.ClientBlocks = makeBlocks(100_000)
	before, err := b.Split()
	g.Expect(err).NotTo(HaveOccurred())
	b.ClientBlocks[50_000].Region = "norte"
	b.ClientBlocks = append(b.ClientBlocks, ClientBlock{netip.MustParsePrefix("11.0.7.128/25"), "norte"})
	after, err := b.Split()
	g.Expect(err).NotTo(HaveOccurred())
	added := 0
	for d := range after.Pieces {
		if _, ok := before.Pieces[d]; !ok {
			added++
		}
	}
	g.Expect(len(after.Pieces)).To(BeNumerically(">", 30))
	g.Expect(added).To(Equal(6), "the manifest, two lists, the changed piece, and the two halves of a piece that exceeded its limit")
}

func FuzzCheck(f *testing.F) {
	data := exampleFile(f)
	for _, cut := range []int{0, 1, 10, 100, 1000, len(data) - 2, len(data)} {
		f.Add(data[:cut])
	}
	for _, s := range []string{
		"null", "[]", `{"Format":1e9}`, `{"Regions":[null,{}]}`, "\xff", `{"Services":[{"Targets":[{"Address":"::1"}]}]}`,
		`{"ClientBlocks":[{"Prefix":"1.2.3.4/33","Region":""}]}`, `{"Policy":{"Reserve":1e400}}`, strings.Repeat(`[`, 20000),
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, errs := Check(data)
		for _, x := range errs {
			if x.Line < 1 || x.Column < 1 || x.Problem == "" {
				t.Fatalf("error without a position: %+v", x)
			}
		}
		if len(errs) > 0 {
			return
		}
		s, err := b.Split()
		if err != nil {
			t.Fatal(err)
		}
		got, err := Assemble(s.Digest, getFrom(s.Pieces))
		if err != nil {
			t.Fatal(err)
		}
		if d := Diff(b, got); len(d) > 0 {
			t.Fatal(d)
		}
	})
}

func FuzzAssemble(f *testing.F) {
	b, _ := Check(exampleFile(f))
	s, err := b.Split()
	if err != nil {
		f.Fatal(err)
	}
	for _, data := range s.Pieces {
		f.Add(data)
	}
	f.Add(fmt.Appendf(nil, `[%q]`, s.Manifest.Blocks[0]))
	f.Add([]byte(`["x"]`))
	f.Add([]byte(fmt.Sprintf(`{"Format":1,"Deployment":"x","Plan":%q,"Services":null,"Blocks":[]}`, DigestOf(nil))))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := DigestOf(data)
		get := func(want Digest) ([]byte, bool) {
			if want == d {
				return data, true
			}
			piece, ok := s.Pieces[want]
			return piece, ok
		}
		_, _ = MissingPieces(d, get)
		_, assembleErr := Assemble(d, get)
		_, _, _, updateErr := (BlockIndex{}).Update(d, get)
		if (assembleErr == nil) != (updateErr == nil) {
			t.Fatalf("Assemble returned %v, Update returned %v", assembleErr, updateErr)
		}
		_, _ = DecodeBlocks(d, data)
		_, _ = Children(false, data)
	})
}
