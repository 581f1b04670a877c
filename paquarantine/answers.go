package paquarantine

import "time"

// maxAnswers bounds the requests that are remembered in each half of an answerLog.
const maxAnswers = 4096

// answerLog remembers when requests were last run to their end, for at least answerCredit. The zero value is ready for use.
type answerLog struct {
	// newer and older have the answers since turnedAt, and those before.
	newer, older map[Fingerprint]time.Time
	turnedAt     time.Time
}

// add records an answer, unless there are too many.
func (l *answerLog) add(f Fingerprint, at time.Time) {
	if l.newer == nil || at.Sub(l.turnedAt) > answerCredit {
		l.older, l.newer, l.turnedAt = l.newer, map[Fingerprint]time.Time{}, at
	}
	if _, known := l.newer[f]; known || len(l.newer) < maxAnswers {
		l.newer[f] = at
	}
}

// last returns when the request was last answered; zero if that is not known.
func (l *answerLog) last(f Fingerprint) time.Time {
	if at, ok := l.newer[f]; ok {
		return at
	}
	return l.older[f]
}
