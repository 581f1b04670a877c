package paconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Failure is how an attempt failed to get a complete response. The zero value means that it did not.
type Failure string

// The failures.
const (
	// FailureDialTimeout means that nothing answered the attempt to connect, and FailureDialRefused that it was
	// rejected. FailureDial is any other failure to connect.
	FailureDialTimeout Failure = "DialTimeout"
	FailureDialRefused Failure = "DialRefused"
	FailureDial        Failure = "DialFailed"
	// FailureNoDescriptor means that there was no descriptor for a connection.
	FailureNoDescriptor Failure = "NoDescriptor"
	// FailureUnacked means that the peer acknowledged nothing for too long on an open connection, or that it is a relay
	// that answers no calls.
	FailureUnacked Failure = "Unacknowledged"
	// FailureReset and FailureClosed mean that the connection was reset, or closed before the response was complete.
	FailureReset  Failure = "Reset"
	FailureClosed Failure = "Closed"
	// FailureDeadline means that the deadline passed or the client disconnected.
	FailureDeadline Failure = "Deadline"
	// FailureResponse is a response that cannot be read, or belongs to another request.
	FailureResponse Failure = "BadResponse"
)

// Failures has all failures.
var Failures = []Failure{
	FailureDialTimeout, FailureDialRefused, FailureDial, FailureUnacked, FailureReset, FailureClosed, FailureDeadline,
	FailureResponse, FailureNoDescriptor,
}

// ErrPeerLost is the cause of the end of an attempt whose peer is known not to answer.
var ErrPeerLost = errors.New("the peer does not answer")

// DialFailure returns the failure of an attempt to connect. A dial that ended because the client disconnected says
// nothing about the peer.
func DialFailure(ctx context.Context, err error) Failure {
	switch {
	case ctx.Err() != nil:
		return FailureDeadline
	case IsNoDescriptor(err):
		return FailureNoDescriptor
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return FailureDialRefused
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded),
		errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return FailureDialTimeout
	}
	return FailureDial
}

// ConnFailure returns the failure of an attempt on an open connection.
func ConnFailure(ctx context.Context, err error) Failure {
	switch {
	case errors.Is(context.Cause(ctx), ErrPeerLost):
		return FailureUnacked
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		return FailureDeadline
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return FailureUnacked
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return FailureReset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return FailureClosed
	}
	return FailureResponse
}
