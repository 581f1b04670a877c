package pagate

import (
	"time"

	"papayahead/pasteer"
)

// A relay is an entry VM that forwards a request for another one whose own path to the targets failed. The request
// goes to the relay's port for entry VMs, as HTTP on a connection that begins with relayPrefix. relayHeader holds a
// relayCall in the request and a relayReply in the response; neither reaches a target or a client.
const (
	relayPrefix = "PapaRly1"
	relayHeader = "Papaya-Relay"
)

// relayCall is what a relay needs besides the request itself. The first entry VM has authenticated the request and
// charged its rate limit; the API key stays there.
type relayCall struct {
	// From is the entry VM that received the request.
	From string
	// Version is the configuration version that the request was routed by, Service the service chosen by it.
	Version int64
	Service string
	// OperatorChange is the revision of the latest change by an operator that a relay must know, 0 if there is none.
	OperatorChange uint64 `json:",omitempty"`
	// Workspace is the owner of the request's API key, if any.
	Workspace string `json:",omitempty"`
	// Tried are the targets to which the request was sent already.
	Tried []string `json:",omitempty"`
	// Unwilling are targets that want no requests from the first entry VM, some of them if they are many.
	Unwilling []string `json:",omitempty"`
}

// relayOutcome is what became of a relayed request.
type relayOutcome string

const (
	// relayAnswered means that the response is the target's.
	relayAnswered relayOutcome = "Answered"
	// relayNotRun means that the request certainly did not run and will not.
	relayNotRun relayOutcome = "NotRun"
	// relayUnknown means that it may have run.
	relayUnknown relayOutcome = "Unknown"
)

// relayReply is what a relay says beside the response.
type relayReply struct {
	Outcome relayOutcome
	// Reason is why the relay generated the response itself.
	Reason string `json:",omitempty"`
	// RetryMicroseconds is when a request that did not run may be sent again.
	RetryMicroseconds int64 `json:",omitempty"`
	// Elsewhere says that another relay may serve the request.
	Elsewhere bool `json:",omitempty"`
	// Target is the target of the last attempt, Microseconds the time that the relay took.
	Target       string `json:",omitempty"`
	Microseconds int64
	// Born identifies the lifetime of the target.
	Born int64 `json:",omitempty"`
}

// refusal returns the reply as a refusal of the balancer.
func (r *relayReply) refusal() pasteer.Choice {
	return pasteer.Choice{Reason: pasteer.Reason(r.Reason), RetryAfter: time.Duration(r.RetryMicroseconds) * time.Microsecond}
}
