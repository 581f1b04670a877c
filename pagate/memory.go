package pagate

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"papayahead/pabuffer"
	"papayahead/paevent"
	"papayahead/palane"
)

const (
	// reasonNoMemory is why a request was refused before it was read: what it costs found no room in the memory of the process.
	reasonNoMemory = "NoMemory"
	// retryAfterNoMemory applies then: what others hold comes back within a run, or as soon as they stop.
	retryAfterNoMemory = 300 * time.Millisecond
)

// memory bounds what clients and their requests cost the process.
type memory struct {
	// budget is the account of it, without a bound if the process's limit is unknown.
	budget pabuffer.Budget
	// servers are those of all ports for HTTP.
	mutex   sync.Mutex
	servers []*palane.Server
}

// laneConfig returns the configuration of a port for HTTP.
func (g *Gate) laneConfig(p port, maxConns int) palane.Config {
	return palane.Config{
		Base: g.ports.listeners[p], Clock: g.config.Clock, MaxHeaderBytes: maxHeader, MaxConns: maxConns, Memory: &g.memory.budget,
		HeaderTimeout: func() time.Duration { return g.clientLimits().HeaderTimeout },
		MaxHead:       func() int { return g.clientLimits().MaxHeader },
		LacksMemory:   g.makeRoom, Refuse: g.refuseUnread,
	}
}

// newServer returns the server of a port other than that for clients.
func (g *Gate) newServer(c palane.Config, h http.HandlerFunc) *palane.Server {
	c.Serial, c.HeaderTimeout = true, func() time.Duration { return headerTimeout }
	return g.memory.add(palane.NewServer(c, h))
}

func (m *memory) add(s *palane.Server) *palane.Server {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.servers = append(m.servers, s)
	return s
}

func (m *memory) all() []*palane.Server {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.servers)
}

// closeIdle closes connections that have been idle for too long.
func (g *Gate) closeIdle(now time.Time) {
	for _, s := range g.memory.all() {
		limit := idleTimeout
		if s.Listener == g.clientListener {
			limit = g.clientLimits().IdleTimeout
		}
		s.CloseIdle(now, limit)
	}
}

// makeRoom closes connections that hold memory without a request in progress, as there is none for others.
func (g *Gate) makeRoom() {
	for _, s := range g.memory.all() {
		s.MakeRoom()
	}
}

// refuseUnread returns the response to a client whose request was refused before it was read. Nothing of it was sent to a target.
func (g *Gate) refuseUnread(why palane.Refusal) []byte {
	lines, status, reason := "", http.StatusBadRequest, string(why)
	switch why {
	case palane.NoRoom:
		status, reason = http.StatusServiceUnavailable, reasonNoMemory
		seconds := retryAfterNoMemory.Seconds() * (1 + retryAfterJitter*g.random())
		lines = "Retry-After: " + strconv.FormatFloat(seconds, 'f', 3, 64) + "\r\n"
	case palane.HeadTooLong:
		status, reason = http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge
	}
	g.meter.countRequest("", status, reason, 0, 0)
	if g.endLog.Take(g.config.Clock.Now()) {
		g.record(paevent.RequestEnded{Status: status, Reason: reason})
	}
	return why.Response(lines, reason+"\n")
}

// exportMemory adds what clients and their requests hold to the metrics.
func (g *Gate) exportMemory() {
	for kind, p := range map[string]pabuffer.Part{
		"Connections": pabuffer.Connections, "Heads": pabuffer.Heads, "Bodies": pabuffer.Bodies, "Messages": pabuffer.Messages,
	} {
		g.meter.set.NewGauge(`papayahead_gate_memory_held_bytes{kind="`+kind+`"}`, func() float64 { return float64(g.memory.budget.HeldFor(p)) })
	}
	g.meter.set.NewGauge("papayahead_gate_memory_refusals", func() float64 { return float64(g.memory.budget.Refused()) })
	g.meter.set.NewGauge("papayahead_gate_clients_closed_stalled", func() float64 { return float64(g.clientListener.Counts().Stalled) })
}
