package pakey

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"
	"sync"
)

// digest stands for a key.
type digest [sha256.Size]byte

// Keyring finds the holders of keys. It is safe for concurrent use once all keys are added.
type Keyring struct {
	holders map[digest]int
	macs    sync.Pool
}

// NewKeyring returns a Ring without keys.
func NewKeyring() *Keyring {
	secret := make([]byte, sha256.Size)
	// It never fails, by its documentation.
	_, _ = rand.Read(secret)
	return &Keyring{
		holders: map[digest]int{},
		macs:    sync.Pool{New: func() any { return hmac.New(sha256.New, secret) }},
	}
}

// Add gives a key to a holder, in the place of any before.
func (r *Keyring) Add(key string, holder int) { r.holders[r.digest(key)] = holder }

// Lookup returns the holder of a key, and whether it has one.
func (r *Keyring) Lookup(key string) (holder int, ok bool) {
	holder, ok = r.holders[r.digest(key)]
	return holder, ok
}

func (r *Keyring) digest(key string) (d digest) {
	m := r.macs.Get().(hash.Hash)
	defer r.macs.Put(m)
	m.Reset()
	// A hash never returns an error, by its documentation.
	_, _ = m.Write([]byte(key))
	m.Sum(d[:0])
	return d
}
