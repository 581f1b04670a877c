package paevent

// Started reports that a process is up and serving.
type Started struct {
	Role, Version, Zone string
	Callers, Peers      string
}

// Kind returns the catalogue's entry.
func (Started) Kind() Kind {
	return Kind{Number: 1001, Name: "Started", Level: Info, Text: "The process is up and serving."}
}

func (Started) sealed() {}

// Stopping reports the start of a graceful shutdown.
type Stopping struct {
	Reason   string
	InFlight int
}

// Kind returns the catalogue's entry.
func (Stopping) Kind() Kind {
	return Kind{Number: 1002, Name: "Stopping", Level: Info, Text: "A graceful shutdown began: no new work, what runs goes on."}
}

func (Stopping) sealed() {}

// Stopped reports the end of a process.
type Stopped struct {
	// CutOff counts requests that were still running; it is 0 after a graceful shutdown.
	CutOff int
	// DrainMilliseconds is the time from Stopping to here.
	DrainMilliseconds int64
}

// Kind returns the catalogue's entry.
func (Stopped) Kind() Kind {
	return Kind{Number: 1003, Name: "Stopped", Level: Info, Text: "The process ends."}
}

func (Stopped) sealed() {}

// SettingsRefused reports that a process did not start because of its settings.
type SettingsRefused struct{ Fault string }

// Kind returns the catalogue's entry.
func (SettingsRefused) Kind() Kind {
	return Kind{Number: 1004, Name: "SettingsRefused", Level: Error, Text: "A setting is missing or wrong; the process does not start."}
}

func (SettingsRefused) sealed() {}
