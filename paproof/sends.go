package paproof

// Rejection is the proof that one send of a request did not run it and never will. The zero value proves nothing.
type Rejection struct{ proved bool }

// Proved reports whether the send did not run the request.
func (r Rejection) Proved() bool { return r.proved }

// NotRun is the proof that a request has not run and never will: no send of it is under way, each was rejected, and there will be no other.
// The zero value proves nothing.
type NotRun struct{ proved bool }

// Proved reports whether the request has not run and never will.
func (n NotRun) Proved() bool { return n.proved }

// Sends are the sends of one request to targets, or to other entry VMs that send it on. One goroutine uses them. The zero value is a
// request that was not sent and must not run more than once.
type Sends struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// open is set while a send is under way, mayHaveRun once one ended without a proof.
	open, mayHaveRun bool
	// closed is set once the request is not sent any more.
	closed bool
}

// Begin reports whether the request may be sent, and begins a send. Each send that began must be passed to End before the next.
//
// A request that must run once is not sent on while an earlier send may run it, whoever asks.
func (s *Sends) Begin() bool {
	if s.closed || s.open || !s.Repeatable && s.mayHaveRun {
		return false
	}
	s.open = true
	return true
}

// End ends the send that is under way. Without a proof it may have run the request, or may still.
func (s *Sends) End(r Rejection) {
	if !s.open {
		panic("paproof: the end of a send that is not under way")
	}
	s.open = false
	s.mayHaveRun = s.mayHaveRun || !r.proved
}

// MayHaveRun reports whether a send may have run the request, or may still.
func (s *Sends) MayHaveRun() bool { return s.open || s.mayHaveRun }

// Close ends the sends of the request, of which none begins from now on, and returns the proof that it has not run if there is one.
func (s *Sends) Close() NotRun {
	s.closed = true
	return NotRun{proved: !s.MayHaveRun()}
}
