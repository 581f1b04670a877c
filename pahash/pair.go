package pahash

import "github.com/cespare/xxhash/v2"

// Pair hashes two names. Names without a zero byte never run into each other.
func Pair(first, second string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(first)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(second)
	return d.Sum64()
}
