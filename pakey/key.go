package pakey

import (
	"errors"
	"strings"
)

// Errors of Parse.
var (
	// ErrMissing is returned for a request without an Authorization field.
	ErrMissing = errors.New("no credential")
	// ErrMalformed is returned if the credential is not exactly one key of the Bearer scheme.
	ErrMalformed = errors.New("malformed credential")
)

const (
	// authScheme is the only accepted authentication scheme; its case doesn't matter.
	authScheme = "bearer"
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 4 << 10
)

// Parse returns the key in the values of a request's Authorization field, or ErrMissing or ErrMalformed.
func Parse(fields []string) (string, error) {
	if len(fields) == 0 {
		return "", ErrMissing
	}
	if len(fields) > 1 {
		return "", ErrMalformed
	}
	name, key, ok := strings.Cut(fields[0], " ")
	key = strings.TrimLeft(key, " ")
	if !ok || !strings.EqualFold(name, authScheme) || !Valid(key) {
		return "", ErrMalformed
	}
	return key, nil
}

// Valid reports whether a string can be a key: visible ASCII characters without blanks, at most 4 KiB.
func Valid(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] >= 0x7f {
			return false
		}
	}
	return true
}
