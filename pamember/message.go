package pamember

import (
	"net/netip"

	"papayahead/pabundle"
)

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks for an Ack with the same nonce.
	Ping Kind = iota + 1
	// Ack says that its Subject (or, when unset, its sender) answered.
	Ack
	// PingRequest asks the receiver to ping the Subject and report by Ack or Nack.
	PingRequest
	// Nack says that the Subject did not answer the helper's ping; it shows that the helper is reachable.
	Nack
	// Gossip carries updates and asks for a GossipReply.
	Gossip
	// GossipReply carries the receiver's updates and, if the roots differ, its region digests.
	GossipReply
	// SyncZones carries the zone digests of the regions that differ and asks for SyncRecords.
	SyncZones
	// SyncRecords carries the records of the zones that differ, and asks for those of the zones in WantedGroups.
	SyncRecords
)

// The bounds of a message. A message beyond one is rejected as a whole. 8 KiB holds the largest message that a Member
// sends, and bounds the memory that a faulty peer can make it use.
const (
	MaxMessageBytes = 8 << 10
	maxUpdates      = 12
	maxReports      = 16
	maxSyncRecords  = 64
	maxGroups       = 256
	maxNameBytes    = 128
)

// GroupHeartbeat is the heartbeat counter of a zone, or of the direct contact with a region, by the hash of its name.
type GroupHeartbeat struct {
	Group   uint32
	Counter uint64
}

// GroupDigest is the digest of the records of a zone or region, by the hash of its name.
type GroupDigest struct {
	Group  uint32
	Digest uint64
}

// Message is a message between two daemons; which fields are set depends on its Kind.
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
	// Digests are of regions in a GossipReply and of zones in SyncZones, whose WantedGroups then lists the regions compared.
	Digests []GroupDigest
	// WantedGroups lists groups by hash: in SyncRecords the zones whose records the sender asks for.
	WantedGroups []uint32
	// Truncated says that some records did not fit into a SyncRecords message.
	Truncated bool
}

// Envelope is a message with its destination.
type Envelope struct {
	// To is empty when only the address is known, as for a seed.
	To      pabundle.EntryName
	Address netip.AddrPort
	Message Message
}
