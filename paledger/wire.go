package paledger

import (
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pawire"
)

// Wire encodes the claim.
func (c Claim) Wire() *pawire.LedgerClaim {
	return &pawire.LedgerClaim{
		Service: string(c.ID.Service), Key: c.ID.Key, Request: c.Request,
		Claimant: string(c.Claimant.Name), ClaimantIncarnation: c.Claimant.Incarnation, BodyDigest: c.BodyDigest,
		FirstSentUnixNano: toUnixNano(c.FirstSent), Repeat: c.Repeat,
		DeadlineUnixNano: toUnixNano(c.Deadline), MemoryNano: int64(c.Memory),
	}
}

// ClaimFromWire decodes and validates a message. It returns trace.BadParameter if the message is invalid.
func ClaimFromWire(m *pawire.LedgerClaim) (Claim, error) {
	if err := checkTexts(m.GetService(), m.GetKey(), m.GetRequest(), m.GetClaimant()); err != nil {
		return Claim{}, trace.Wrap(err)
	}
	if m.GetDeadlineUnixNano() <= 0 || m.GetMemoryNano() < 0 {
		return Claim{}, trace.BadParameter(
			"ledger: claim has deadline %d and memory %d, want a positive deadline and a memory of at least 0",
			m.GetDeadlineUnixNano(), m.GetMemoryNano())
	}
	return Claim{
		ID:         ID{pabundle.ServiceName(m.GetService()), m.GetKey()},
		Request:    m.GetRequest(),
		Claimant:   Claimant{pabundle.EntryName(m.GetClaimant()), m.GetClaimantIncarnation()},
		BodyDigest: m.GetBodyDigest(), FirstSent: fromUnixNano(m.GetFirstSentUnixNano()), Repeat: m.GetRepeat(),
		Deadline: fromUnixNano(m.GetDeadlineUnixNano()), Memory: time.Duration(m.GetMemoryNano()),
	}, nil
}

// Wire encodes the reply.
func (r Reply) Wire() *pawire.LedgerReply {
	return &pawire.LedgerReply{
		Verdict: uint32(r.Verdict), Reason: uint32(r.Reason), Outcome: uint32(r.Outcome), Status: uint32(max(0, r.Status)),
		AnswerDigest: r.AnswerDigest, Live: r.Live, ComeBackMilliseconds: uint32(r.RetryAfter.Milliseconds()),
	}
}

// ReplyFromWire decodes and validates a message. It returns trace.BadParameter if the message is invalid.
func ReplyFromWire(m *pawire.LedgerReply) (Reply, error) {
	if m.GetVerdict() > uint32(Unknown) || m.GetReason() > uint32(GivenUp) || m.GetOutcome() > uint32(EndedNotRun) {
		return Reply{}, trace.BadParameter("ledger: reply has an unknown verdict %d, reason %d or outcome %d",
			m.GetVerdict(), m.GetReason(), m.GetOutcome())
	}
	return Reply{
		Verdict: Verdict(m.GetVerdict()), Reason: Reason(m.GetReason()), Outcome: Outcome(m.GetOutcome()),
		Status: int(m.GetStatus()), AnswerDigest: m.GetAnswerDigest(), Live: m.GetLive(),
		RetryAfter: time.Duration(m.GetComeBackMilliseconds()) * time.Millisecond,
	}, nil
}

// Wire encodes the settlement.
func (s Settlement) Wire() *pawire.LedgerSettle {
	return &pawire.LedgerSettle{
		Service: string(s.ID.Service), Key: s.ID.Key, Request: s.Request,
		Outcome: uint32(s.Outcome), Status: uint32(max(0, s.Status)), AnswerDigest: s.AnswerDigest,
	}
}

// SettlementFromWire decodes and validates a message. It returns trace.BadParameter if the message is invalid.
func SettlementFromWire(m *pawire.LedgerSettle) (Settlement, error) {
	if err := checkTexts(m.GetService(), m.GetKey(), m.GetRequest()); err != nil {
		return Settlement{}, trace.Wrap(err)
	}
	if m.GetOutcome() > uint32(EndedNotRun) {
		return Settlement{}, trace.BadParameter("ledger: settlement has an unknown outcome %d", m.GetOutcome())
	}
	return Settlement{
		ID: ID{pabundle.ServiceName(m.GetService()), m.GetKey()}, Request: m.GetRequest(),
		Outcome: Outcome(m.GetOutcome()), Status: int(m.GetStatus()), AnswerDigest: m.GetAnswerDigest(),
	}, nil
}

// Wire encodes the handover.
func (h Handover) Wire() *pawire.LedgerHandover {
	m := &pawire.LedgerHandover{
		From: string(h.From), Incarnation: h.Incarnation, Part: uint32(h.Part), Parts: uint32(h.Parts),
		SinceUnixNano: toUnixNano(h.Since),
	}
	for _, n := range h.Successors {
		m.Successors = append(m.Successors, string(n))
	}
	for _, r := range h.Records {
		m.Records = append(m.Records, &pawire.LedgerRecord{
			Service: string(r.ID.Service), Key: r.ID.Key, Request: r.Request, BodyDigest: r.BodyDigest,
			State: uint32(r.State), Status: uint32(max(0, r.Status)), AnswerDigest: r.AnswerDigest,
			DeadlineUnixNano: toUnixNano(r.Deadline), TouchedUnixNano: toUnixNano(r.ChangedAt), MemoryNano: int64(r.Memory),
			Claimant: string(r.Claimant.Name), ClaimantIncarnation: r.Claimant.Incarnation,
		})
	}
	return m
}

// HandoverFromWire decodes and validates a message. It returns trace.BadParameter if the message is invalid.
func HandoverFromWire(m *pawire.LedgerHandover) (Handover, error) {
	if err := checkTexts(m.GetFrom()); err != nil {
		return Handover{}, trace.Wrap(err)
	}
	if m.GetParts() < 1 || m.GetParts() > maxParts || m.GetPart() >= m.GetParts() || len(m.GetRecords()) > maxRecords {
		return Handover{}, trace.BadParameter(
			"ledger: handover part %d of %d with %d records is out of range, want at most %d parts of %d records",
			m.GetPart(), m.GetParts(), len(m.GetRecords()), maxParts, maxRecords)
	}
	h := Handover{
		From: pabundle.EntryName(m.GetFrom()), Incarnation: m.GetIncarnation(),
		Part: int(m.GetPart()), Parts: int(m.GetParts()), Since: fromUnixNano(m.GetSinceUnixNano()),
	}
	if len(m.GetSuccessors()) > maxSuccessors {
		return Handover{}, trace.BadParameter("ledger: handover has %d successors, want at most %d",
			len(m.GetSuccessors()), maxSuccessors)
	}
	for _, n := range m.GetSuccessors() {
		if err := checkTexts(n); err != nil {
			return Handover{}, trace.Wrap(err)
		}
		h.Successors = append(h.Successors, pabundle.EntryName(n))
	}
	for _, r := range m.GetRecords() {
		if err := checkTexts(r.GetService(), r.GetKey(), r.GetRequest(), r.GetClaimant()); err != nil {
			return Handover{}, trace.Wrap(err)
		}
		if r.GetState() > uint32(Free) || r.GetMemoryNano() < 0 {
			return Handover{}, trace.BadParameter("ledger: record has an unknown state %d or a negative memory %d",
				r.GetState(), r.GetMemoryNano())
		}
		h.Records = append(h.Records, Record{
			ID: ID{pabundle.ServiceName(r.GetService()), r.GetKey()}, Request: r.GetRequest(), BodyDigest: r.GetBodyDigest(),
			Claimant: Claimant{pabundle.EntryName(r.GetClaimant()), r.GetClaimantIncarnation()},
			State:    State(r.GetState()), Status: int(r.GetStatus()), AnswerDigest: r.GetAnswerDigest(),
			Deadline: fromUnixNano(r.GetDeadlineUnixNano()), ChangedAt: fromUnixNano(r.GetTouchedUnixNano()),
			Memory: time.Duration(r.GetMemoryNano()),
		})
	}
	return h, nil
}

func checkTexts(texts ...string) error {
	for _, t := range texts {
		if t == "" || len(t) > maxTextLength {
			return trace.BadParameter("ledger: name, key or request identity has %d bytes, want 1 to %d", len(t), maxTextLength)
		}
	}
	return nil
}

// toUnixNano and fromUnixNano map the zero time to 0 and back.
func toUnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
