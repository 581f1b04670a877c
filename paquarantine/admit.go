package paquarantine

import "time"

// suspectedRetryAfter is when a suspected request may be sent again while another with its content is in progress.
const suspectedRetryAfter = time.Second

// Refusal is why a request is not admitted.
type Refusal struct {
	Resource Resource
	// RetryAfter is when it may be admitted.
	RetryAfter time.Duration
	// Held says that it is held off; otherwise it is suspected, and another with its content is in progress.
	Held bool
}

// Admit decides whether a request may be sent to targets now. It answers the load of a request that ends its targets and
// comes again at once, at any entry VM: each try would cost a target, and the other requests there. If the request is
// admitted, the caller calls done at its end.
//
// trialDelay returns how much later than others this entry VM tries a request whose time is over. If all did so at once, it
// could end as many targets.
func (q *Quarantine) Admit(f Fingerprint, trialDelay func() time.Duration, now time.Time) (done func(), r *Refusal) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s := q.suspects[f]
	if s == nil {
		return func() {}, nil
	}
	if s.verdict.guilty {
		if until := s.verdict.until.Add(trialDelay()); now.Before(until) {
			return nil, &Refusal{Resource: s.resource, RetryAfter: until.Sub(now), Held: true}
		}
	}
	if s.verdict.suspected() && s.inFlight > 0 {
		return nil, &Refusal{Resource: s.resource, RetryAfter: suspectedRetryAfter}
	}
	s.inFlight++
	return func() { q.done(s) }, nil
}

func (q *Quarantine) done(s *suspect) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s.inFlight--
}

// MayRetry reports whether a request may be sent to another target after it was lost with one.
func (q *Quarantine) MayRetry(f Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s := q.suspects[f]
	return s == nil || !s.verdict.suspected()
}

// Release takes back all losses of the requests with a resource and returns what follows from that, and how many there were.
func (q *Quarantine) Release(r Resource, now time.Time) ([]Change, int) {
	q.mutex.Lock()
	var all []Finding
	for f, s := range q.suspects {
		if s.resource == r && len(s.losses) > 0 {
			all = append(all, Answered{Request: f, At: now})
		}
	}
	q.mutex.Unlock()
	return q.Add(now, all...), len(all)
}

// Counts returns how many requests were lost with a target and may be blamed for it, and how many are held off.
func (q *Quarantine) Counts(now time.Time) (suspects, held int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, s := range q.suspects {
		if len(s.losses) > 0 {
			suspects++
		}
		if s.verdict.guilty && now.Before(s.verdict.until) {
			held++
		}
	}
	return suspects, held
}
