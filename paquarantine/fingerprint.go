package paquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a digest of a request's content; a caller cannot choose content that collides with that of another.
type Fingerprint [16]byte

// Resource is a hash of a request's method, host and path. It names a request in logs, and tells nothing of its body or
// of its caller.
type Resource uint64

// String returns the resource as 16 hexadecimal digits.
func (r Resource) String() string {
	s := strconv.FormatUint(uint64(r), 16)
	return "0000000000000000"[len(s):] + s
}

// ParseResource parses the output of String.
func ParseResource(s string) (Resource, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	return Resource(n), err
}

// Content is what makes two requests the same: not their IDs, deadlines or affinity keys.
type Content struct {
	Method, Host, URI string
	// Workspace is the owner of the API key; empty if there is none.
	Workspace string
	// Body is the body, or as much of it as is held in memory.
	Body []byte
}

// Fingerprint returns the digest of the content.
func (c Content) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{c.Method, c.Host, c.URI, c.Workspace} {
		writeField(h.Write, []byte(field))
	}
	writeField(h.Write, c.Body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// writeField writes a field with its length, so that no two contents run into one another.
func writeField(write func([]byte) (int, error), field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = write(length[:]) // A hash never fails to write.
	_, _ = write(field)
}

// Resource returns the hash that names the content in logs.
func (c Content) Resource() Resource {
	return Resource(xxhash.Sum64String(c.Method + "\x00" + c.Host + "\x00" + c.URI))
}
