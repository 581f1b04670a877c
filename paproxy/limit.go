package paproxy

import (
	"net/http"
	"time"
)

// Defaults of Limits.
const (
	// DefaultMaxHeader, in bytes, fits cookies and tokens; 360 connections with full headers use less
	// than 24 MB.
	DefaultMaxHeader = 64 << 10
	// DefaultHeaderTimeout gives a phone on a poor link time to send a header, and limits how long a
	// caller that sends its header byte by byte can hold a connection.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout is how long an idle caller's connection stays open.
	DefaultIdleTimeout = 60 * time.Second
	// DefaultBodyIdleTimeout is how long a body may make no progress in either direction; a stalled
	// body holds a slot at a target that may have only three.
	DefaultBodyIdleTimeout = 10 * time.Second
	// DefaultMaxAttempts limits the attempts at a request: the first one, one at another target, one
	// at another entry VM. Under load the Placer's retry budget is the tighter limit.
	DefaultMaxAttempts = 3
)

// Limits are the limits on callers' resources; zero fields take the defaults.
type Limits struct {
	// MaxHeader limits a request's header in bytes.
	MaxHeader int
	// HeaderTimeout limits the time to read a header; IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout time.Duration
	// BodyIdleTimeout limits the time in which a body makes no progress.
	BodyIdleTimeout time.Duration
	// MaxBody limits a request's body in bytes; 0 means no limit but the deadline.
	MaxBody int64
	// MaxAttempts limits the attempts at one request.
	MaxAttempts int
}

// withDefaults returns the limits with zeros replaced by the defaults.
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

// Server returns an HTTP server for callers that enforces the limits. Serve it on a listener of
// NewFramingListener, so that requests with ambiguous framing are detected.
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
