package paproof

import (
	"net/http"
	"slices"
)

// promises are the statuses that tell a caller that its request has not run and never will.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// Promises returns the statuses that tell a caller that its request has not run and never will.
func Promises() []int { return slices.Clone(promises) }

// IsPromise reports whether a status tells a caller that its request has not run and never will.
func IsPromise(status int) bool { return slices.Contains(promises, status) }

// Response is what a target's response says of its request. It must be known to belong to this send of it.
type Response struct {
	Status int
	// NotExecuted is set if the target says that it did not run the request.
	NotExecuted bool
	// Target is for whom the request was meant, and Responder who responded; empty if that is not said.
	Target, Responder string
}

// Misdirected reports whether another target than the one that the request was meant for turned it away.
func (r Response) Misdirected() bool {
	return r.Status == http.StatusMisdirectedRequest && (r.Responder != r.Target || r.NotExecuted)
}

// Rejection returns the proof that the target did not run the request, if the response is one.
//
// A status alone proves nothing: a target may run a request and then answer 503, because something behind it is too busy.
func (r Response) Rejection() Rejection {
	other := r.Status == http.StatusMisdirectedRequest && r.Responder != "" && r.Responder != r.Target
	return Rejection{proved: r.NotExecuted || other}
}

// ByRelay returns the proof of a send to another entry VM, which says whether it has closed its own sends with a proof.
func ByRelay(notRun bool) Rejection { return Rejection{proved: notRun} }

// Unsent returns the proof of a send of which no byte was written.
func Unsent() Rejection { return Rejection{proved: true} }

// PassesOn reports whether a target's response may be passed on with its status. One that promises what nobody has proved may
// not, unless the request may run again.
func (s *Sends) PassesOn(status int) bool { return s.Repeatable || !IsPromise(status) }
