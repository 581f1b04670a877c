package paevent

// Number identifies a kind of event in logs and docs; a number is never reused.
type Number int

// Level is how much attention an event asks for.
type Level int

// The levels, from routine to broken.
const (
	// Info is the ordinary course of things.
	Info Level = iota
	// Warning is a fault that the system deals with by itself.
	Warning
	// Error asks for an operator.
	Error
)

// String returns the level's name in logs.
func (l Level) String() string {
	switch l {
	case Info:
		return "info"
	case Warning:
		return "warn"
	default:
		return "error"
	}
}

// Event is one kind of occurrence with its details; its exported fields are the details, of basic types.
type Event interface {
	// Kind returns the catalogue's entry for this kind of event.
	Kind() Kind
	// sealed keeps the catalogue complete: only this package defines events.
	sealed()
}

// Kind is a catalogue entry.
type Kind struct {
	Number Number
	// Name is the Pascal-case name of the event's type.
	Name  string
	Level Level
	// Text says in one sentence what happened.
	Text string
}

// Subject is embedded in events that concern one request, service or sequence, so that the time
// line can be filtered by them; unset fields are left out of logs.
type Subject struct {
	Request  string `json:",omitempty"`
	Service  string `json:",omitempty"`
	Sequence uint64 `json:",omitempty"`
}

// About returns the subject, also through embedding.
func (s Subject) About() Subject { return s }
