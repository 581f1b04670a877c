package paproxy

import (
	"net/http"
	"time"
)

// The limits where Limits leaves them zero.
const (
	// DefaultMaxHeader fits cookies and tokens; 360 connections with full headers stay under 24 MB.
	DefaultMaxHeader = 64 << 10
	// DefaultHeaderTimeout gives a phone on a poor link time for a header, and bounds a caller that
	// sends its header byte by byte to hold connections.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout is how long an idle caller's connection is kept.
	DefaultIdleTimeout = 60 * time.Second
	// DefaultBodyIdleTimeout is how long a body may stand still in either direction; a stalled body holds a
	// slot at a target that has three.
	DefaultBodyIdleTimeout = 10 * time.Second
	// DefaultMaxAttempts bounds the attempts at a request: first, another target, another entry VM. The
	// Placer's budget is the tighter bound under load.
	DefaultMaxAttempts = 3
)

// Limits bound what a caller can hold on to; zero fields take the defaults.
type Limits struct {
	// MaxHeader bounds a request's header in bytes.
	MaxHeader int
	// HeaderTimeout bounds the time a header takes; IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout time.Duration
	// BodyIdleTimeout bounds the time in which a body makes no progress.
	BodyIdleTimeout time.Duration
	// MaxBody bounds a request's body in bytes; 0 leaves it to the deadline.
	MaxBody int64
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts int
}

// withDefaults returns the limits with the defaults in place of zeros.
func (l Limits) withDefaults() Limits {
	l.MaxHeader = orDefault(l.MaxHeader, DefaultMaxHeader)
	l.HeaderTimeout = orDefault(l.HeaderTimeout, DefaultHeaderTimeout)
	l.IdleTimeout = orDefault(l.IdleTimeout, DefaultIdleTimeout)
	l.BodyIdleTimeout = orDefault(l.BodyIdleTimeout, DefaultBodyIdleTimeout)
	l.MaxAttempts = orDefault(l.MaxAttempts, DefaultMaxAttempts)
	return l
}

func orDefault[T int | int64 | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// Server returns an HTTP server for callers that holds to the limits; serve it on Watch's listener,
// so that requests with ambiguous framing can be told.
func (l Limits) Server(h http.Handler) *http.Server {
	l = l.withDefaults()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeader,
		ConnContext:       recordingContext,
	}
}
