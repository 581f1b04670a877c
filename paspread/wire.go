package paspread

import (
	"maps"
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/pawire"

	"github.com/gravitational/trace"
)

// ToWire encodes the offer of a head by the daemon named self.
func ToWire(self pabundle.EntryName, h pabundle.Head) *pawire.HeadOffer {
	w := &pawire.HeadOffer{
		Entry: string(self), Deployment: h.Deployment, Sequence: uint64(h.Sequence), Digest: string(h.Digest),
		Previous: string(h.Previous), RollId: h.RollID, Operator: h.Operator,
	}
	for _, n := range slices.Sorted(maps.Keys(h.Start)) {
		for _, x := range h.Start[n] {
			w.Start = append(w.Start, &pawire.HeadStart{Service: string(n), From: string(x.From), To: string(x.To), Share: x.Share})
		}
	}
	if !h.RolledAt.IsZero() {
		w.RolledAtUnixNano = h.RolledAt.UnixNano()
	}
	return w
}

// FromWire decodes a received offer; it fails if a field is too long, the sender is missing or a share is invalid.
func FromWire(w *pawire.HeadOffer) (HeadReceived, error) {
	const maxName = 256
	for _, s := range []string{w.GetEntry(), w.GetDeployment(), w.GetDigest(), w.GetPrevious(), w.GetRollId(), w.GetOperator()} {
		if len(s) > maxName {
			return HeadReceived{}, trace.BadParameter("head offer with a field of %d bytes, want at most %d", len(s), maxName)
		}
	}
	if w.GetEntry() == "" {
		return HeadReceived{}, trace.BadParameter("head offer without a sender")
	}
	h := pabundle.Head{
		Deployment: w.GetDeployment(), Sequence: pabundle.Sequence(w.GetSequence()), Digest: pabundle.Digest(w.GetDigest()),
		Previous: pabundle.Digest(w.GetPrevious()), RollID: w.GetRollId(), Operator: w.GetOperator(),
	}
	start, err := startFromWire(w.GetStart())
	if err != nil {
		return HeadReceived{}, err
	}
	h.Start = start
	if n := w.GetRolledAtUnixNano(); n != 0 {
		h.RolledAt = time.Unix(0, n).UTC()
	}
	return HeadReceived{Peer: pabundle.EntryName(w.GetEntry()), Head: h}, nil
}

// maxStart bounds the shares of a head: services times pairs of regions at the designed size.
const maxStart = 1 << 16

func startFromWire(all []*pawire.HeadStart) (map[pabundle.ServiceName][]pabundle.Share, error) {
	if len(all) == 0 {
		return nil, nil
	}
	if len(all) > maxStart {
		return nil, trace.BadParameter("head offer with %d shares, want at most %d", len(all), maxStart)
	}
	start := map[pabundle.ServiceName][]pabundle.Share{}
	for _, x := range all {
		if !(x.GetShare() >= 0 && x.GetShare() <= 1) {
			return nil, trace.BadParameter("head offer with a share of %v, want 0 to 1", x.GetShare())
		}
		n := pabundle.ServiceName(x.GetService())
		start[n] = append(start[n], pabundle.Share{
			From: pabundle.RegionName(x.GetFrom()), To: pabundle.RegionName(x.GetTo()), Share: x.GetShare(),
		})
	}
	return start, nil
}
