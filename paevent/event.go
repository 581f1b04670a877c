package paevent

// Number identifies a kind of event in logs and docs; a number is never reused.
type Number int

// Level is how much attention an event asks for.
type Level int

// The levels, by rising severity.
const (
	// Info is normal operation.
	Info Level = iota
	// Warning is a fault that the system handles by itself.
	Warning
	// Error needs an operator to act.
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

// Event is a log event. Its exported fields are its details and have basic types, as they are written as JSON.
type Event interface {
	// Kind returns the catalogue's entry for this kind of event.
	Kind() Kind
	// sealed restricts implementations to this package, so that the catalogue can be complete.
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

// About returns the subject; events that embed Subject inherit it.
func (s Subject) About() Subject { return s }
