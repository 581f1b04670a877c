package palane

import (
	"papayahead/pabuffer"
	"papayahead/pasocket"
)

const (
	// receiveBuffer is how much the system receives on a connection before it is read, in bytes, about half of it unread at the worst. It
	// counts toward the memory of the process, and is enough for any request without a long body.
	receiveBuffer = 16 << 10
	// wideBuffer is the same for a connection with a long body, which gets through as much of it in each round trip.
	wideBuffer = 128 << 10
	// longBody is how much of a body has arrived before its connection gets a wideBuffer.
	longBody = 64 << 10
)

// takeConn takes what a connection costs, and reports whether there was room.
func (l *Listener) takeConn() bool {
	memory := l.config.Memory
	if !memory.Take(pabuffer.Connections, connCost) {
		return false
	}
	if !memory.Take(pabuffer.Received, 2*receiveBuffer) {
		memory.PutBack(pabuffer.Connections, connCost)
		return false
	}
	return true
}

func (l *Listener) putBackConn() {
	l.config.Memory.PutBack(pabuffer.Connections, connCost)
	l.config.Memory.PutBack(pabuffer.Received, 2*receiveBuffer)
}

// boundReceived has the system receive little on each connection of the Listener.
func (l *Listener) boundReceived() {
	if l.config.Memory.IsBounded() {
		pasocket.BoundReceived(l.config.Base, receiveBuffer)
	}
}

// widen lets the system receive more on a connection once it has read a part of a long body, if there is memory for it.
func (c *conn) widen(lane *Lane, read int) {
	if c.wide || read < longBody || !c.listener.config.Memory.IsBounded() {
		return
	}
	c.wide = true
	raw, ok := c.raw.(interface{ SetReadBuffer(bytes int) error })
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if ok && lane.state == active && lane.claim.Take(pabuffer.Received, 2*wideBuffer) {
		_ = raw.SetReadBuffer(wideBuffer) // Without it the body takes longer.
	}
}
