// Package pabundle defines the bundle: the versioned configuration of a deployment (regions, links,
// services, targets, client blocks) that operators review, sign off and roll out, and that every
// daemon follows.
//
// A Bundle is plain data, written as JSON with the field names as keys. It is immutable and
// identified by its Digest. A Head records which bundle is in force; its Sequence only increases, so
// a roll-back is a new Head with the Digest of an older bundle.
//
// For storage and transfer, a bundle is split into content-addressed pieces, as in a Merkle tree: a
// manifest (the root) names one piece with the plan (everything but services and client blocks), one
// piece for each service, and the pieces of client blocks, directly or through lists of digests. Two
// versions share all pieces that are equal, so a daemon fetches only those that changed.
package pabundle
