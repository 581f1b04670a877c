package palane

import (
	"context"
	"errors"
)

// ErrConnectionEnded says that the caller left, or that an answer ahead closed the connection.
var ErrConnectionEnded = errors.New("the caller's connection has ended")

// EarlierPending says that answers to requests before this one are not out yet.
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

// AwaitTurn waits until the answers to the requests before this one are out.
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
	case <-l.conn.left:
		return ErrConnectionEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// MayRunEarly says whether a request may run before its turn, as far as the answers allow that wait already.
func (l *Lane) MayRunEarly() bool {
	if l == nil {
		return true
	}
	l.conn.mutex.Lock()
	defer l.conn.mutex.Unlock()
	return l.conn.held < heldMost && l.conn.listener.held.Load() < heldMostAll
}

// CountBuffered counts an answer that waits for its turn.
func (l *Lane) CountBuffered(bytes int) {
	if l == nil {
		return
	}
	l.conn.mutex.Lock()
	defer l.conn.mutex.Unlock()
	if l.conn.under[0] == l || l.conn.hasLeft {
		return
	}
	l.held += int64(bytes)
	l.conn.held += int64(bytes)
	l.conn.listener.held.Add(int64(bytes))
}

// release takes back what Hold counted; the mutex is held.
func (l *Lane) release() {
	l.conn.held -= l.held
	l.conn.listener.held.Add(-l.held)
	l.held = 0
}

// MarkLast says whether the answer may close the connection: it may if no further request was read, and then
// none is.
func (l *Lane) MarkLast() bool {
	if l == nil {
		return true
	}
	c := l.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n := len(c.under); n > 0 && c.under[n-1] != l {
		return false
	}
	c.last = true
	return true
}
