package pabundle

import (
	"encoding/json"
	"fmt"
	"testing"
)

// exampleWithBlocks returns the example with n client blocks.
func exampleWithBlocks(b *testing.B, n int) Bundle {
	e, faults := Check(exampleFile(b))
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	e.ClientBlocks = makeBlocks(n)
	return e
}

var blockCounts = []int{1_000, 10_000, 100_000, 1_000_000}

func BenchmarkCheckExample(b *testing.B) {
	data := exampleFile(b)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, faults := Check(data); len(faults) > 0 {
			b.Fatal(faults)
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
				if _, faults := Check(data); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
	}
}

// BenchmarkCheckAllFaulty reads a file in which each block is wrong.
func BenchmarkCheckAllFaulty(b *testing.B) {
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
				if _, faults := Check(data); len(faults) != n {
					b.Fatal(len(faults))
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
