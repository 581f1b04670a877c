package paledger

import (
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pawire"
)

// Wire returns the claim as a message.
func (c Claim) Wire() *pawire.LedgerClaim {
	return &pawire.LedgerClaim{
		Service: string(c.ID.Service), Key: c.ID.Key, Request: c.Request,
		Claimant: string(c.Claimant.Name), ClaimantIncarnation: c.Claimant.Incarnation, BodyDigest: c.BodyDigest,
		FirstSentUnixNano: nano(c.FirstSent), Repeat: c.Repeat,
		DeadlineUnixNano: nano(c.Deadline), MemoryNano: int64(c.Memory),
	}
}

// ClaimFromWire checks and reads a message; it returns trace.BadParameter for a bad one.
func ClaimFromWire(m *pawire.LedgerClaim) (Claim, error) {
	if err := checkTexts(m.GetService(), m.GetKey(), m.GetRequest(), m.GetClaimant()); err != nil {
		return Claim{}, trace.Wrap(err)
	}
	if m.GetDeadlineUnixNano() <= 0 || m.GetMemoryNano() < 0 {
		return Claim{}, trace.BadParameter("ledger: deadline %d and memory %d, want a positive deadline and no negative memory",
			m.GetDeadlineUnixNano(), m.GetMemoryNano())
	}
	return Claim{
		ID:         ID{pabundle.ServiceName(m.GetService()), m.GetKey()},
		Request:    m.GetRequest(),
		Claimant:   Claimant{pabundle.EntryName(m.GetClaimant()), m.GetClaimantIncarnation()},
		BodyDigest: m.GetBodyDigest(), FirstSent: instant(m.GetFirstSentUnixNano()), Repeat: m.GetRepeat(),
		Deadline: instant(m.GetDeadlineUnixNano()), Memory: time.Duration(m.GetMemoryNano()),
	}, nil
}

// Wire returns the reply as a message.
func (r Reply) Wire() *pawire.LedgerReply {
	return &pawire.LedgerReply{
		Verdict: uint32(r.Verdict), Reason: uint32(r.Reason), Outcome: uint32(r.Outcome), Status: uint32(max(0, r.Status)),
		AnswerDigest: r.AnswerDigest, Live: r.Live, ComeBackMilliseconds: uint32(r.RetryAfter.Milliseconds()),
	}
}

// ReplyFromWire checks and reads a message; it returns trace.BadParameter for a bad one.
func ReplyFromWire(m *pawire.LedgerReply) (Reply, error) {
	if m.GetVerdict() > uint32(Unknown) || m.GetReason() > uint32(GivenUp) || m.GetOutcome() > uint32(EndedNotRun) {
		return Reply{}, trace.BadParameter("ledger: verdict %d, reason %d or outcome %d is not known",
			m.GetVerdict(), m.GetReason(), m.GetOutcome())
	}
	return Reply{
		Verdict: Verdict(m.GetVerdict()), Reason: Reason(m.GetReason()), Outcome: Outcome(m.GetOutcome()),
		Status: int(m.GetStatus()), AnswerDigest: m.GetAnswerDigest(), Live: m.GetLive(),
		RetryAfter: time.Duration(m.GetComeBackMilliseconds()) * time.Millisecond,
	}, nil
}

// Wire returns the settlement as a message.
func (s Settlement) Wire() *pawire.LedgerSettle {
	return &pawire.LedgerSettle{
		Service: string(s.ID.Service), Key: s.ID.Key, Request: s.Request,
		Outcome: uint32(s.Outcome), Status: uint32(max(0, s.Status)), AnswerDigest: s.AnswerDigest,
	}
}

// SettlementFromWire checks and reads a message; it returns trace.BadParameter for a bad one.
func SettlementFromWire(m *pawire.LedgerSettle) (Settlement, error) {
	if err := checkTexts(m.GetService(), m.GetKey(), m.GetRequest()); err != nil {
		return Settlement{}, trace.Wrap(err)
	}
	if m.GetOutcome() > uint32(EndedNotRun) {
		return Settlement{}, trace.BadParameter("ledger: outcome %d is not known", m.GetOutcome())
	}
	return Settlement{
		ID: ID{pabundle.ServiceName(m.GetService()), m.GetKey()}, Request: m.GetRequest(),
		Outcome: Outcome(m.GetOutcome()), Status: int(m.GetStatus()), AnswerDigest: m.GetAnswerDigest(),
	}, nil
}

// Wire returns the handover as a message.
func (h Handover) Wire() *pawire.LedgerHandover {
	m := &pawire.LedgerHandover{
		From: string(h.From), Incarnation: h.Incarnation, Part: uint32(h.Part), Parts: uint32(h.Parts),
		SinceUnixNano: nano(h.Since),
	}
	for _, n := range h.Successors {
		m.Successors = append(m.Successors, string(n))
	}
	for _, r := range h.Records {
		m.Records = append(m.Records, &pawire.LedgerRecord{
			Service: string(r.ID.Service), Key: r.ID.Key, Request: r.Request, BodyDigest: r.Body,
			State: uint32(r.State), Status: uint32(max(0, r.Status)), AnswerDigest: r.Answer,
			DeadlineUnixNano: nano(r.Deadline), TouchedUnixNano: nano(r.ChangedAt), MemoryNano: int64(r.Memory),
			Claimant: string(r.Claimant.Name), ClaimantIncarnation: r.Claimant.Incarnation,
		})
	}
	return m
}

// HandoverFromWire checks and reads a message; it returns trace.BadParameter for a bad one.
func HandoverFromWire(m *pawire.LedgerHandover) (Handover, error) {
	if err := checkTexts(m.GetFrom()); err != nil {
		return Handover{}, trace.Wrap(err)
	}
	if m.GetParts() < 1 || m.GetParts() > maxParts || m.GetPart() >= m.GetParts() || len(m.GetRecords()) > maxRecords {
		return Handover{}, trace.BadParameter("ledger: part %d of %d with %d records, want at most %d parts of %d",
			m.GetPart(), m.GetParts(), len(m.GetRecords()), maxParts, maxRecords)
	}
	h := Handover{
		From: pabundle.EntryName(m.GetFrom()), Incarnation: m.GetIncarnation(),
		Part: int(m.GetPart()), Parts: int(m.GetParts()), Since: instant(m.GetSinceUnixNano()),
	}
	if len(m.GetSuccessors()) > maxSuccessors {
		return Handover{}, trace.BadParameter("ledger: %d successors, want at most %d", len(m.GetSuccessors()), maxSuccessors)
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
			return Handover{}, trace.BadParameter("ledger: state %d or memory %d of a record", r.GetState(), r.GetMemoryNano())
		}
		h.Records = append(h.Records, Record{
			ID: ID{pabundle.ServiceName(r.GetService()), r.GetKey()}, Request: r.GetRequest(), Body: r.GetBodyDigest(),
			Claimant: Claimant{pabundle.EntryName(r.GetClaimant()), r.GetClaimantIncarnation()},
			State:    State(r.GetState()), Status: int(r.GetStatus()), Answer: r.GetAnswerDigest(),
			Deadline: instant(r.GetDeadlineUnixNano()), ChangedAt: instant(r.GetTouchedUnixNano()),
			Memory: time.Duration(r.GetMemoryNano()),
		})
	}
	return h, nil
}

func checkTexts(texts ...string) error {
	for _, t := range texts {
		if t == "" || len(t) > maxText {
			return trace.BadParameter("ledger: a name, key or identity has %d bytes, want 1 to %d", len(t), maxText)
		}
	}
	return nil
}

// nano and instant keep the zero time zero.
func nano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func instant(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
