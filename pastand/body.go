package pastand

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
)

// Header names and query parameters of the stand-ins' own.
const (
	// DigestHeader carries the hexadecimal SHA-256 of the answer's body, as a header or a trailer.
	DigestHeader = "Papaya-Stand-Digest"
	// ReceivedHeader carries the hexadecimal SHA-256 of the request's body as the target got it.
	ReceivedHeader = "Papaya-Stand-Received"
	// TargetHeader names the target that answered.
	TargetHeader = "Papaya-Stand-Target"
	// ClassParameter is the query parameter with the class of the request, which sets its run time.
	ClassParameter = "Class"
	// SizeParameter is the query parameter with the answer's size in bytes.
	SizeParameter = "Size"
	// ChunkedParameter asks for an answer without a declared length when it is "true".
	ChunkedParameter = "Chunked"
)

// Body returns a reader of the size bytes that answer the request of this identity, and no other.
func Body(identity string, size int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(sha256.Sum256([]byte(identity))), size)
}

// BodyDigest returns the hexadecimal SHA-256 of Body's bytes.
func BodyDigest(identity string, size int64) string {
	h := sha256.New()
	if _, err := io.Copy(h, Body(identity, size)); err != nil {
		panic(err)
	}
	return hex.EncodeToString(h.Sum(nil))
}
