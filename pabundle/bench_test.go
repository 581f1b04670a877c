package pabundle

import (
	"encoding/json"
	"fmt"
	"testing"
)

// exampleWithBlocks returns the example bundle with n client blocks.
func exampleWithBlocks(b *testing.B, n int) Bundle {
	e, errs := Check(exampleFile(b))
	if len(errs) > 0 {
		b.Fatal(errs)
	}
	e.ClientBlocks = makeBlocks(n)
	return e
}

var blockCounts = []int{1_000, 10_000, 100_000, 1_000_000}

func BenchmarkCheckExample(b *testing.B) {
	data := exampleFile(b)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, errs := Check(data); len(errs) > 0 {
			b.Fatal(errs)
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	for _, n := range blockCounts {
		b.Run(fmt.Sprintf("Blocks=%d", n), func(b *testing.B) {
			data, err := json.MarshalIndent(exampleWithBlocks(b, n), "", "  ")
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, errs := Check(data); len(errs) > 0 {
					b.Fatal(errs)
				}
			}
		})
	}
}

// BenchmarkCheckAllInvalid checks a file in which each client block has an error.
func BenchmarkCheckAllInvalid(b *testing.B) {
	for _, n := range blockCounts[:3] {
		b.Run(fmt.Sprintf("Blocks=%d", n), func(b *testing.B) {
			e := exampleWithBlocks(b, n)
			for i := range e.ClientBlocks {
				e.ClientBlocks[i].Region = "nowhere"
			}
			data, err := json.MarshalIndent(e, "", "  ")
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, errs := Check(data); len(errs) != n {
					b.Fatal(len(errs))
				}
			}
		})
	}
}

func BenchmarkSplit(b *testing.B) {
	for _, n := range blockCounts {
		b.Run(fmt.Sprintf("Blocks=%d", n), func(b *testing.B) {
			e := exampleWithBlocks(b, n)
			for b.Loop() {
				s, err := e.Split()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(s.Pieces)), "pieces")
				b.ReportMetric(float64(len(s.Pieces[s.Digest])), "manifest-bytes")
			}
		})
	}
}

func BenchmarkAssemble(b *testing.B) {
	for _, n := range blockCounts {
		b.Run(fmt.Sprintf("Blocks=%d", n), func(b *testing.B) {
			s, err := exampleWithBlocks(b, n).Split()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Assemble(s.Digest, getFrom(s.Pieces)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
