package paentry

import (
	"net/netip"
	"sync"

	"github.com/gravitational/trace"

	"papayahead/pacontrol"
	"papayahead/pacredit"
	"papayahead/paevent"
)

// errTooManyCalls is the failure of a credit request that was dropped because maxControlCalls were in progress.
var errTooManyCalls = trace.LimitExceeded("credit request not sent: too many calls to other entry VMs in progress")

// askOutcome is the outcome of one credit request.
type askOutcome string

// The values of the label "answer" of papayahead_credit_asks_total.
const (
	askGranted askOutcome = "Granted"
	askEmpty   askOutcome = "Empty"
	askFailed  askOutcome = "Failed"
)

// withheldThreshold is the number of consecutive credit requests for waiting requests that are answered
// without a credit before this is logged; it corresponds to a second or more of asking.
const withheldThreshold = 20

// askStreaks tracks the granters that fail to answer or grant nothing, so that each streak is logged
// once. The zero value is ready for use.
type askStreaks struct {
	mutex   sync.Mutex
	streaks map[netip.AddrPort]askStreak
}

// askStreak counts consecutive credit requests to one granter that brought no credit.
type askStreak struct {
	failed, empty int
	logged        bool
}

// count records the outcome of one credit request and returns the event to log, or nil.
func (r *askStreaks) count(granter netip.AddrPort, a askOutcome, reason string) paevent.Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.streaks[granter]
	if a == askGranted {
		delete(r.streaks, granter)
		if s.logged {
			return paevent.CreditsAnswered{Granter: granter.String()}
		}
		return nil
	}
	if r.streaks == nil {
		r.streaks = map[netip.AddrPort]askStreak{}
	}
	var e paevent.Event
	switch a {
	case askFailed:
		if s.failed++; s.failed == 1 {
			e = paevent.CreditsUnanswered{Granter: granter.String(), Reason: reason}
		}
	default:
		if s.empty++; s.empty == withheldThreshold {
			e = paevent.CreditsWithheld{Granter: granter.String(), Asks: s.empty}
		}
	}
	s.logged = s.logged || e != nil
	r.streaks[granter] = s
	return e
}

// recordAsk counts a credit request in the metrics and logs the start and end of a streak without
// credits. An empty answer to a request made ahead of demand does not count towards a streak.
func (p *peers) recordAsk(a pacontrol.AskCredit, g pacredit.Grant, err error) {
	answer, reason := askGranted, ""
	switch {
	case err != nil:
		answer, reason = askFailed, err.Error()
	case len(g.Items) == 0:
		answer = askEmpty
	}
	for _, x := range a.Ask.Items {
		p.daemon.metrics.creditAsks(x.Service, a.Ahead, answer).Inc()
	}
	if a.Ahead && answer == askEmpty {
		return
	}
	if e := p.askStreaks.count(a.Address, answer, reason); e != nil {
		p.daemon.record(e)
	}
}
