package pastand

// Faults are the ways in which a target can be made to misbehave; the zero value is a target in
// good order. POST /Faults replaces all of them at once.
type Faults struct {
	// CloseMidBody closes the connection after half of a body of declared length.
	CloseMidBody bool
	// Truncate ends a chunked body half way, without its last chunk.
	Truncate bool
	// TooManyBytes sends more bytes than the declared length.
	TooManyBytes bool
	// Silent takes requests and connections and never answers.
	Silent bool
	// Slow multiplies run times; 0 and 1 leave them as they are.
	Slow float64
	// FastFail answers 500 at once, without running the request.
	FastFail bool
	// LieHealthy lets /Health and /Load claim an idle target in good order.
	LieHealthy bool
	// Drain announces that the target leaves; what runs goes on, new work is shed.
	Drain bool
	// AnswerLate runs a request to its end but answers only after its deadline.
	AnswerLate bool
	// DropAfterRun closes the connection of a request that ran, in place of an answer.
	DropAfterRun bool
	// WrongIdentity answers under the identity of another request.
	WrongIdentity bool
}
