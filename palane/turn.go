package palane

import (
	"context"
	"errors"
)

// ErrConnectionEnded reports that the client disconnected, or that the response to an earlier request closed the connection.
var ErrConnectionEnded = errors.New("client connection has ended")

// EarlierPending reports whether responses to earlier requests on the connection are still pending.
func (l *Lane) EarlierPending() bool {
	if l == nil {
		return false
	}
	select {
	case <-l.turn:
		return false
	default:
		return true
	}
}

// AwaitTurn waits until the responses to earlier requests on the connection have been sent. It fails with
// ErrConnectionEnded or the error of ctx.
func (l *Lane) AwaitTurn(ctx context.Context) error {
	if l == nil {
		return nil
	}
	select {
	case <-l.turn:
		return nil
	default:
	}
	select {
	case <-l.turn:
		return nil
	case <-l.conn.disconnected:
		return ErrConnectionEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// MayRunEarly reports whether a request may run before its turn: the buffered responses are below their limits.
func (l *Lane) MayRunEarly() bool {
	if l == nil {
		return true
	}
	l.conn.mutex.Lock()
	defer l.conn.mutex.Unlock()
	return l.conn.buffered < maxBuffered && l.conn.listener.buffered.Load() < maxBufferedTotal
}

// CountBuffered adds bytes of the response to the buffered total if the response has to wait for its turn.
func (l *Lane) CountBuffered(bytes int) {
	if l == nil {
		return
	}
	l.conn.mutex.Lock()
	defer l.conn.mutex.Unlock()
	if l.conn.inFlight[0] == l || l.conn.hasDisconnected {
		return
	}
	l.buffered += int64(bytes)
	l.conn.buffered += int64(bytes)
	l.conn.listener.buffered.Add(int64(bytes))
}

// releaseBuffered takes the lane's bytes out of the buffered totals. The mutex is held.
func (l *Lane) releaseBuffered() {
	l.conn.buffered -= l.buffered
	l.conn.listener.buffered.Add(-l.buffered)
	l.buffered = 0
}

// MarkLast makes the request the last one of its connection, unless a later one has already been read. It reports
// whether it did, in which case the response may close the connection.
func (l *Lane) MarkLast() bool {
	if l == nil {
		return true
	}
	c := l.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n := len(c.inFlight); n > 0 && c.inFlight[n-1] != l {
		return false
	}
	c.stopped = true
	return true
}
