package pamember

import (
	"encoding/hex"
	"net/netip"

	"papayahead/pabundle"
	"papayahead/pawire"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// ToWire encodes messages for sending.
func ToWire(all []Message) *pawire.MemberMessages {
	w := &pawire.MemberMessages{}
	for _, v := range all {
		w.Messages = append(w.Messages, messageToWire(v))
	}
	return w
}

// FromWire decodes received messages; it fails on the first that is malformed or exceeds a bound.
func FromWire(w *pawire.MemberMessages) ([]Message, error) {
	const maxMessages = 16
	if len(w.GetMessages()) > maxMessages || proto.Size(w) > maxMessages*MaxMessageBytes {
		return nil, trace.LimitExceeded("%d messages of %d bytes in total, want at most %d messages of %d bytes each",
			len(w.GetMessages()), proto.Size(w), maxMessages, MaxMessageBytes)
	}
	var all []Message
	for _, x := range w.GetMessages() {
		if n := proto.Size(x); n > MaxMessageBytes {
			return nil, trace.LimitExceeded("message of %d bytes, want at most %d", n, MaxMessageBytes)
		}
		v, err := messageFromWire(x)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, v)
	}
	return all, nil
}

func messageToWire(v Message) *pawire.MemberMessage {
	digest, _ := hex.DecodeString(string(v.Config.Digest))
	w := &pawire.MemberMessage{
		Kind: uint32(v.Kind), Nonce: v.Nonce, From: recordToWire(v.From),
		Subject: string(v.Subject), SubjectAddress: addressToWire(v.SubjectAddress),
		Sequence: uint64(v.Config.Sequence), Digest: digest, Root: v.Root, Want: v.WantedGroups, More: v.Truncated,
	}
	for _, r := range v.Records {
		w.Records = append(w.Records, recordToWire(r))
	}
	for _, f := range v.LoadReports {
		w.Facts = append(w.Facts, &pawire.MemberFacts{
			Name: string(f.Name), Stamp: f.Report.Stamp,
			Sequence: uint64(f.Report.Sequence), Room: uint32(f.Report.Headroom), Free: f.Report.Free,
			Slots: f.Report.Slots, Waiting: f.Report.Waiting,
		})
	}
	if len(v.Heartbeats) > 0 {
		w.BeatBase = v.Heartbeats[0].Counter
	}
	w.BeatGroups, w.Beats = beatsToWire(v.Heartbeats, w.BeatBase)
	w.ContactGroups, w.Contacts = beatsToWire(v.Contacts, w.BeatBase)
	for _, d := range v.Digests {
		w.DigestGroups = append(w.DigestGroups, d.Group)
		w.Digests = append(w.Digests, d.Digest)
	}
	return w
}

func messageFromWire(w *pawire.MemberMessage) (Message, error) {
	v := Message{
		Kind: Kind(min(w.GetKind(), 255)), Nonce: w.GetNonce(), Subject: pabundle.EntryName(w.GetSubject()),
		Config: ConfigVersion{Sequence: pabundle.Sequence(w.GetSequence()), Digest: pabundle.Digest(hex.EncodeToString(w.GetDigest()))},
		Root:   w.GetRoot(), WantedGroups: w.GetWant(), Truncated: w.GetMore(),
	}
	var err error
	if v.From, err = recordFromWire(w.GetFrom()); err != nil {
		return v, trace.Wrap(err)
	}
	if v.SubjectAddress, err = addressFromWire(w.GetSubjectAddress()); err != nil {
		return v, trace.Wrap(err)
	}
	for _, r := range w.GetRecords() {
		x, err := recordFromWire(r)
		if err != nil {
			return v, trace.Wrap(err)
		}
		v.Records = append(v.Records, x)
	}
	for _, f := range w.GetFacts() {
		v.LoadReports = append(v.LoadReports, MemberLoadReport{
			Name: pabundle.EntryName(f.GetName()),
			Report: LoadReport{
				Stamp: f.GetStamp(), Sequence: pabundle.Sequence(f.GetSequence()), Headroom: uint8(min(f.GetRoom(), 255)),
				Free: f.GetFree(), Slots: f.GetSlots(), Waiting: f.GetWaiting(),
			},
		})
	}
	if err := groupsFromWire(w, &v); err != nil {
		return v, trace.Wrap(err)
	}
	return v, trace.Wrap(v.Check())
}

func groupsFromWire(w *pawire.MemberMessage, v *Message) error {
	var err error
	if v.Heartbeats, err = beatsFromWire(w.GetBeatGroups(), w.GetBeats(), w.GetBeatBase()); err != nil {
		return trace.Wrap(err)
	}
	if v.Contacts, err = beatsFromWire(w.GetContactGroups(), w.GetContacts(), w.GetBeatBase()); err != nil {
		return trace.Wrap(err)
	}
	if len(w.GetDigestGroups()) != len(w.GetDigests()) {
		return trace.BadParameter("%d digests for %d groups", len(w.GetDigests()), len(w.GetDigestGroups()))
	}
	for i, g := range w.GetDigestGroups() {
		v.Digests = append(v.Digests, GroupDigest{Group: g, Digest: w.GetDigests()[i]})
	}
	return nil
}

func beatsToWire(all []GroupHeartbeat, base uint64) (groups []uint32, beats []int64) {
	for _, b := range all {
		groups = append(groups, b.Group)
		beats = append(beats, int64(b.Counter-base))
	}
	return groups, beats
}

func beatsFromWire(groups []uint32, beats []int64, base uint64) ([]GroupHeartbeat, error) {
	if len(groups) != len(beats) {
		return nil, trace.BadParameter("%d heartbeats for %d groups", len(beats), len(groups))
	}
	var all []GroupHeartbeat
	for i, g := range groups {
		all = append(all, GroupHeartbeat{Group: g, Counter: base + uint64(beats[i])})
	}
	return all, nil
}

func recordToWire(r Record) *pawire.MemberRecord {
	return &pawire.MemberRecord{
		Name: string(r.Name), Zone: string(r.Zone), Region: string(r.Region), Incarnation: uint64(r.Incarnation),
		CallerAddress: addressToWire(r.CallerAddress), PeerAddress: addressToWire(r.PeerAddress),
		State: uint32(r.State), Accuser: string(r.Accuser),
	}
}

func recordFromWire(w *pawire.MemberRecord) (Record, error) {
	r := Record{State: State(min(w.GetState(), 255)), Accuser: pabundle.EntryName(w.GetAccuser())}
	r.Name, r.Zone, r.Region = pabundle.EntryName(w.GetName()), pabundle.ZoneName(w.GetZone()), pabundle.RegionName(w.GetRegion())
	r.Incarnation = Incarnation(w.GetIncarnation())
	var err error
	if r.CallerAddress, err = addressFromWire(w.GetCallerAddress()); err != nil {
		return r, trace.Wrap(err)
	}
	r.PeerAddress, err = addressFromWire(w.GetPeerAddress())
	return r, trace.Wrap(err)
}

func addressToWire(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	b, _ := a.MarshalBinary()
	return b
}

func addressFromWire(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if len(b) == 0 {
		return a, nil
	}
	if err := a.UnmarshalBinary(b); err != nil {
		return a, trace.BadParameter("address of %d bytes can't be decoded", len(b))
	}
	return a, nil
}
