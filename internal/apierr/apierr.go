// Package apierr defines the typed errors that reach callers and operators.
//
// Every error states its kind, what is wrong, the remedy and whether the request
// may have run. Only transport adapters translate an Error into their protocol.
package apierr

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Kind classifies an error. It determines the HTTP status and whether a caller may
// retry the request.
type Kind string

// The kinds of error.
const (
	Invalid          Kind = "invalid_request"
	Unauthorized     Kind = "invalid_api_key"
	Forbidden        Kind = "permission_denied"
	NotFound         Kind = "not_found"
	Conflict         Kind = "conflict"
	MethodNotAllowed Kind = "method_not_allowed"
	TooLarge         Kind = "request_too_large"
	RateLimited      Kind = "rate_limit_exceeded"
	Overloaded       Kind = "overloaded"
	Unavailable      Kind = "unavailable"
	Timeout          Kind = "timeout"
	Unknown          Kind = "outcome_unknown"
	Quarantined      Kind = "request_quarantined"
	UpstreamError    Kind = "upstream_error"
	Cancelled        Kind = "cancelled"
	Internal         Kind = "internal_error"
)

// Execution states whether the request may have run at an upstream.
type Execution string

// The execution states of a failed request.
const (
	// NotRun guarantees that no byte of the request reached an upstream that
	// could act on it.
	NotRun Execution = "not_run"
	// MayHaveRun means that the request reached an upstream and its effect is
	// not known.
	MayHaveRun Execution = "unknown"
)

// Error is an error that reaches callers and operators.
type Error struct {
	Kind       Kind
	Message    string        // what is wrong
	Remedy     string        // what the reader can do about it
	Field      string        // path of the field in a document; empty if there is none
	Execution  Execution     // whether the request may have run
	RetryAfter time.Duration // delay before a retry; zero if a retry is of no use
	Cause      error         // only for logs, never shown to callers
}

// New returns an error for a request that did not run.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy, Execution: NotRun}
}

// Newf is like New with a formatted message.
func Newf(kind Kind, remedy, format string, args ...any) *Error {
	return New(kind, fmt.Sprintf(format, args...), remedy)
}

// WithCause returns a copy with a cause for logs.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// WithRetryAfter returns a copy that tells the caller to retry after the delay.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// MayHaveRun returns a copy that says that the request may have run.
func (e *Error) MayHaveRun() *Error {
	c := *e
	c.Execution = MayHaveRun
	return &c
}

// Error implements error. It includes the cause, which callers never see.
func (e *Error) Error() string {
	text := e.Message
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status for the kind.
func (e *Error) Status() int {
	switch e.Kind {
	case Invalid:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case MethodNotAllowed:
		return http.StatusMethodNotAllowed
	case Conflict:
		return http.StatusConflict
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case RateLimited:
		return http.StatusTooManyRequests
	case Overloaded, Unavailable:
		return http.StatusServiceUnavailable
	case Timeout:
		return http.StatusGatewayTimeout
	case Unknown, UpstreamError:
		return http.StatusBadGateway
	case Quarantined:
		return http.StatusUnprocessableEntity
	case Cancelled:
		return 499
	default:
		return http.StatusInternalServerError
	}
}

// From returns err as an *Error. Any other error becomes Internal with MayHaveRun,
// because nothing proves that the request did not run.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Kind:      Internal,
		Message:   "the host met an error it does not know",
		Remedy:    "report the request id to the operators",
		Execution: MayHaveRun,
		Cause:     err,
	}
}

// IsKind reports whether err is or wraps an *Error of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
