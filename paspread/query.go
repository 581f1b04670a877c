package paspread

import "papayahead/pabundle"

// Head returns the head in force; its Sequence is 0 before there is one.
func (s *Replicator) Head() pabundle.Head { return s.head }

// Booted reports whether the wait for the neighbours' answers at boot is over.
func (s *Replicator) Booted() bool { return !s.boot.running }

// Piece returns a piece for a neighbour that fetches it.
func (s *Replicator) Piece(d pabundle.Digest) ([]byte, bool) { return s.held(d) }
