package proof

// Finding is what an attempt proves about whether its instance ran the request.
type Finding int

const (
	// NotRun means that the instance has not run the request and never will.
	NotRun Finding = iota
	// MayHaveRun means that nothing proves the contrary.
	MayHaveRun
	// Answered means that the instance has begun to answer the request.
	Answered
)

// Basis is the observation that a finding rests on.
type Basis string

// The bases of findings.
const (
	NothingSent    Basis = "nothing was sent"
	NothingWritten Basis = "nothing was written"
	SaidNotRun     Basis = "the instance says that it did not run it"
	NoResponse     Basis = "no response"
	Response       Basis = "a response"
)

// Attempt is what was observed of one attempt.
type Attempt struct {
	// Written is true if any byte of the request may have left this process.
	Written bool
	// Responded is true if the whole head of a response to this attempt has arrived.
	Responded bool
	// SaysNotRun is true if that response states that the instance did not run the request.
	SaysNotRun bool
}

// Judge returns what an attempt proves. Statuses prove nothing by themselves: an instance may
// answer a request that it ran with any of them.
func Judge(a Attempt) (Finding, Basis) {
	switch {
	case a.Responded && a.SaysNotRun:
		return NotRun, SaidNotRun
	case a.Responded:
		return Answered, Response
	case a.Written:
		return MayHaveRun, NoResponse
	}
	return NotRun, NothingWritten
}

// Request is what the attempts of a request prove together; its zero value has none.
type Request struct {
	possibleRuns int
	notRun       int
	last         Basis
}

// With returns what is proved after one more attempt.
func (r Request) With(a Attempt) Request {
	finding, basis := Judge(a)
	r.last = basis
	if finding == NotRun {
		r.notRun++
	} else {
		r.possibleRuns++
	}
	return r
}

// PossibleRuns returns the number of attempts that an instance may have run.
func (r Request) PossibleRuns() int { return r.possibleRuns }

// NotRunAttempts returns the number of attempts that certainly did not run.
func (r Request) NotRunAttempts() int { return r.notRun }

// IsNotRun reports whether no instance has run the request, so that a caller may be told so
// provided that it is not sent again.
func (r Request) IsNotRun() bool { return r.possibleRuns == 0 }

// Last returns the basis of the finding on the latest attempt, NothingSent if there is none.
func (r Request) Last() Basis {
	if r == (Request{}) {
		return NothingSent
	}
	return r.last
}
