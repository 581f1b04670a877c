package paentry

import (
	"net/netip"
	"sync"

	"github.com/gravitational/trace"

	"papayahead/pacontrol"
	"papayahead/pacredit"
	"papayahead/paevent"
)

// errTooManyCalls says that an ask was not sent because too many calls were under way.
var errTooManyCalls = trace.LimitExceeded("too many calls to other entry VMs are under way")

// askAnswer is what became of one ask for credits.
type askAnswer string

// The answers, as the metric names them.
const (
	askGranted askAnswer = "Granted"
	askEmpty   askAnswer = "Empty"
	askFailed  askAnswer = "Failed"
)

// withheldAsks is how many asks in a row for waiting requests get no credit before it is logged: a
// second of them or more.
const withheldAsks = 20

// askRecord knows which granters fail or grant nothing, so that each spell is logged once. The zero
// value is ready for use.
type askRecord struct {
	mutex  sync.Mutex
	spells map[netip.AddrPort]askSpell
}

// askSpell is a granter's asks in a row without a credit.
type askSpell struct {
	failed, empty int
	logged        bool
}

// count takes the outcome of one ask and returns the event to log, nil for none.
func (r *askRecord) count(granter netip.AddrPort, a askAnswer, reason string) paevent.Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.spells[granter]
	if a == askGranted {
		delete(r.spells, granter)
		if s.logged {
			return paevent.CreditsAnswered{Granter: granter.String()}
		}
		return nil
	}
	if r.spells == nil {
		r.spells = map[netip.AddrPort]askSpell{}
	}
	var e paevent.Event
	switch a {
	case askFailed:
		if s.failed++; s.failed == 1 {
			e = paevent.CreditsUnanswered{Granter: granter.String(), Reason: reason}
		}
	default:
		if s.empty++; s.empty == withheldAsks {
			e = paevent.CreditsWithheld{Granter: granter.String(), Asks: s.empty}
		}
	}
	s.logged = s.logged || e != nil
	r.spells[granter] = s
	return e
}

// noteAsk counts an ask and logs where a spell without credits begins and ends.
func (p *peers) noteAsk(a pacontrol.AskCredit, g pacredit.Grant, err error) {
	answer, reason := askGranted, ""
	switch {
	case err != nil:
		answer, reason = askFailed, err.Error()
	case len(g.Items) == 0:
		answer = askEmpty
	}
	for _, x := range a.Ask.Items {
		p.daemon.metrics.asks(x.Service, a.Ahead, answer).Inc()
	}
	if a.Ahead && answer == askEmpty {
		return
	}
	if e := p.asks.count(a.Address, answer, reason); e != nil {
		p.daemon.record(e)
	}
}
