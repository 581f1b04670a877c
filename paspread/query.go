package paspread

import "papayahead/pabundle"

// Head returns the head in force; its Sequence is 0 until there is one.
func (s *Replicator) Head() pabundle.Head { return s.head }

// Booted reports whether the wait for peers' answers at boot is over.
func (s *Replicator) Booted() bool { return !s.boot.running }

// Piece returns a piece that is held, for a peer that fetches it.
func (s *Replicator) Piece(d pabundle.Digest) ([]byte, bool) { return s.held(d) }
