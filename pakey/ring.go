package pakey

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"
	"sync"
)

// keyDigest is the HMAC-SHA-256 of a key.
type keyDigest [sha256.Size]byte

// Keyring maps keys to their holders. It is safe for concurrent use once all keys are added.
type Keyring struct {
	holders map[keyDigest]int
	hashes  sync.Pool
}

// NewKeyring returns an empty Keyring, whose digests use a random secret of its own.
func NewKeyring() *Keyring {
	secret := make([]byte, sha256.Size)
	// rand.Read is documented never to return an error.
	_, _ = rand.Read(secret)
	return &Keyring{
		holders: map[keyDigest]int{},
		hashes:  sync.Pool{New: func() any { return hmac.New(sha256.New, secret) }},
	}
}

// Add assigns a key to a holder and replaces any previous holder of it.
func (k *Keyring) Add(key string, holder int) { k.holders[k.digest(key)] = holder }

// Lookup returns the holder of a key and whether it has one.
func (k *Keyring) Lookup(key string) (holder int, ok bool) {
	holder, ok = k.holders[k.digest(key)]
	return holder, ok
}

func (k *Keyring) digest(key string) (d keyDigest) {
	m := k.hashes.Get().(hash.Hash)
	defer k.hashes.Put(m)
	m.Reset()
	// hash.Hash is documented never to return an error from Write.
	_, _ = m.Write([]byte(key))
	m.Sum(d[:0])
	return d
}
