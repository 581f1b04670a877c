package pakey

import (
	"errors"
	"strings"
)

// The faults of a request's credential.
var (
	// ErrMissing says that the request carries no credential.
	ErrMissing = errors.New("no credential")
	// ErrMalformed says that its credential is not one key of the Bearer scheme.
	ErrMalformed = errors.New("malformed credential")
)

const (
	// scheme is the only one that is taken, in any case.
	scheme = "bearer"
	// longest is the most bytes of a key.
	longest = 4 << 10
)

// Parse returns the key in the values of a request's Authorization field.
func Parse(fields []string) (string, error) {
	if len(fields) == 0 {
		return "", ErrMissing
	}
	if len(fields) > 1 {
		return "", ErrMalformed
	}
	name, key, ok := strings.Cut(fields[0], " ")
	key = strings.TrimLeft(key, " ")
	if !ok || !strings.EqualFold(name, scheme) || !Valid(key) {
		return "", ErrMalformed
	}
	return key, nil
}

// Valid says whether a text can be a key: one word of visible ASCII characters.
func Valid(key string) bool {
	if key == "" || len(key) > longest {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] >= 0x7f {
			return false
		}
	}
	return true
}
