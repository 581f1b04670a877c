package pamember

import (
	"net/netip"

	"papayahead/pabundle"
)

// Kind is what a message asks or answers.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks for an Ack with the same nonce.
	Ping Kind = iota + 1
	// Ack says that its Subject (or, when unset, its sender) answered.
	Ack
	// PingRequest asks the receiver to ping the Subject and report by Ack or Nack.
	PingRequest
	// Nack says that the Subject did not answer, but the helper is well.
	Nack
	// Gossip brings news and asks for a GossipReply.
	Gossip
	// GossipReply brings the receiver's news.
	GossipReply
	// SyncZones brings the digests of the zones in the regions that differ and asks for SyncRecords.
	SyncZones
	// SyncRecords brings the records of the zones that differ, and asks for those of the zones in Want.
	SyncRecords
)

// The bounds of a message. A message that passes one is refused whole: 8 KiB holds the largest that a Member
// makes, and bounds what a broken peer can make it hold.
const (
	MaxMessageBytes = 8 << 10
	maxRumours      = 12
	maxFacts        = 16
	maxSyncRecords  = 64
	maxGroups       = 256
	maxNameBytes    = 128
)

// GroupHeartbeat is the beat of a zone, or of the direct contact with a region, by the hash of its name.
type GroupHeartbeat struct {
	Group   uint32
	Counter uint64
}

// GroupDigest is the digest of the records of a zone or region, by the hash of its name.
type GroupDigest struct {
	Group  uint32
	Digest uint64
}

// Message is what one daemon tells another; which fields are set depends on its Kind.
type Message struct {
	Kind  Kind
	Nonce uint64
	// From is the sender's own record.
	From Record
	// Subject and SubjectAddress are the member that a PingRequest and its answers are about.
	Subject        pabundle.EntryName
	SubjectAddress netip.AddrPort
	Config         ConfigVersion
	Records        []Record
	LoadReports    []MemberLoadReport
	// Heartbeats are of zones, Contacts of regions in direct contact with the sender's region.
	Heartbeats, Contacts []GroupHeartbeat
	// Root is the digest of all records.
	Root uint64
	// Digests are of regions in a GossipReply and of zones in SyncZones, whose Want then lists the regions compared.
	Digests []GroupDigest
	// WantedGroups lists groups by hash: zones whose records the sender of SyncRecords asks for.
	WantedGroups []uint32
	// Truncated says that a SyncRecords message did not hold everything.
	Truncated bool
}

// Envelope is a message and where to send it.
type Envelope struct {
	// To is empty when only the address is known, as for a seed.
	To      pabundle.EntryName
	Address netip.AddrPort
	Message Message
}
