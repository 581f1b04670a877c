package paevent

// RequestEnded reports the end of a request at a gate. Every refused or failed request is recorded, and a
// sample of the others.
type RequestEnded struct {
	Subject
	Route  string
	Status int
	// Reason is why the gate generated the answer itself; empty for a target's answer.
	Reason string `json:",omitempty"`
	// Workspace is the workspace of the request's API key.
	Workspace string `json:",omitempty"`
	Target    string `json:",omitempty"`
	// Object is the affinity key that the caller sent, if any.
	Object string `json:",omitempty"`
	// Tried is the number of targets that were tried before this one, Sheds how often a target turned the request away.
	Tried int
	Sheds int `json:",omitempty"`
	// Relays are the entry VMs that the request was handed to because this one's own path to the targets failed; From is
	// the entry VM that received a request which this one relays.
	Relays []string `json:",omitempty"`
	From   string   `json:",omitempty"`
	// Failure is how the last attempt failed, if it got no complete response: DialTimeout, DialRefused, DialFailed,
	// Unacknowledged, Reset, Closed, Deadline or BadResponse.
	Failure string `json:",omitempty"`
	// Version is the configuration version that the request was routed by.
	Version      int64
	Microseconds int64
	// Load is the target's estimated load divided by its slots when it was chosen; Warm says that it had
	// recently handled the object.
	Load float64
	Warm bool
	// Held says that the request was kept in its region because the limit on requests shifted to other regions
	// was reached.
	Held bool `json:",omitempty"`
	// BehindMicroseconds is how long the request or its answer waited for earlier ones on the same connection
	// (head-of-line blocking).
	BehindMicroseconds int64 `json:",omitempty"`
	// LimitMicroseconds is how long the request waited for a token of its workspace's rate limit.
	LimitMicroseconds int64 `json:",omitempty"`
	// Priority is the urgency of the request, 0 the most urgent; RoomMicroseconds is how long it waited in this entry VM for a free
	// slot, and Overtaken how many later requests were sent before it meanwhile.
	Priority         int   `json:",omitempty"`
	RoomMicroseconds int64 `json:",omitempty"`
	Overtaken        int   `json:",omitempty"`
	// KnownMilliseconds is the age of the gate's view of the deployment; the view includes all writes of the store
	// up to Revision.
	KnownMilliseconds int64
	Revision          uint64
}

// Kind implements Event.
func (RequestEnded) Kind() Kind {
	return Kind{Number: 8009, Name: "RequestEnded", Level: Info, Text: "A request ended."}
}

func (RequestEnded) sealed() {}

// RequestHeld reports that requests with the same content are refused, since targets ended under them.
type RequestHeld struct {
	// Resource is the hash of the method, host and path; Targets are the targets that ended.
	Resource string
	Targets  []string
	// Milliseconds is how long they are refused at most.
	Milliseconds int64
}

// Kind implements Event.
func (RequestHeld) Kind() Kind {
	return Kind{Number: 8023, Name: "RequestHeld", Level: Warning, Text: "A request is refused at all entry VMs from now on: the targets that ran it ended."}
}

func (RequestHeld) sealed() {}

// RequestReleased reports that a request is refused no longer.
type RequestReleased struct {
	Resource string
	// Cause is Answered (a target ran it to its end, or an operator released it), Explained (another request explains why
	// the targets ended, or they have not) or Expired.
	Cause string
}

// Kind implements Event.
func (RequestReleased) Kind() Kind {
	return Kind{Number: 8024, Name: "RequestReleased", Level: Info, Text: "A request that was refused for the targets that ended under it is sent to targets again."}
}

func (RequestReleased) sealed() {}

// RetriesDecided reports how many retries of a service's requests the retry budget granted and refused since the last such line, at
// most one a second.
type RetriesDecided struct {
	Subject
	Granted, Refused int
	// Left is how many more it allows now. Entries is the number of entry VMs by which what they share is divided.
	Left    float64
	Entries int
}

// Kind implements Event.
func (RetriesDecided) Kind() Kind {
	return Kind{Number: 8033, Name: "RetriesDecided", Level: Info, Text: "Requests of a service failed at a target; the retry budget granted or refused further attempts."}
}

func (RetriesDecided) sealed() {}
