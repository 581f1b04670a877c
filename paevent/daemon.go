package paevent

// Started reports that a process is up and serving.
type Started struct {
	Role, Version, Zone string
	Callers, Peers      string
}

// Kind implements Event.
func (Started) Kind() Kind {
	return Kind{Number: 1001, Name: "Started", Level: Info, Text: "The process is up and serving."}
}

func (Started) sealed() {}

// Stopping reports the start of a graceful shutdown.
type Stopping struct {
	Reason   string
	InFlight int
}

// Kind implements Event.
func (Stopping) Kind() Kind {
	return Kind{Number: 1002, Name: "Stopping", Level: Info, Text: "A graceful shutdown began: new requests are refused, running ones continue."}
}

func (Stopping) sealed() {}

// Stopped reports the end of a process.
type Stopped struct {
	// CutOff counts the requests that were still running; it is 0 after a graceful shutdown.
	CutOff int
	// DrainMilliseconds is the time since Stopping was recorded.
	DrainMilliseconds int64
}

// Kind implements Event.
func (Stopped) Kind() Kind {
	return Kind{Number: 1003, Name: "Stopped", Level: Info, Text: "The process stopped."}
}

func (Stopped) sealed() {}

// SettingsRefused reports that a process did not start because a setting is missing or invalid.
type SettingsRefused struct{ Fault string }

// Kind implements Event.
func (SettingsRefused) Kind() Kind {
	return Kind{Number: 1004, Name: "SettingsRefused", Level: Error, Text: "A setting is missing or invalid; the process does not start."}
}

func (SettingsRefused) sealed() {}
