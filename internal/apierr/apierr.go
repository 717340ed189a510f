// Package apierr defines the typed errors that reach callers and operators.
//
// Contract: every error names its kind, says what is wrong, names the remedy,
// and says whether the request can have run. Transport adapters translate an
// Error into their own protocol; nothing else does.
package apierr

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Kind classifies an error. It decides the HTTP status and whether a caller
// may send the request again.
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

// Execution says whether the request can have run at an upstream.
type Execution string

// The states of execution that an error can report.
const (
	// NotRun promises that no byte of the request reached an upstream that
	// could act on it.
	NotRun Execution = "not_run"
	// MayHaveRun says that the request reached an upstream and its effect is
	// not known.
	MayHaveRun Execution = "unknown"
)

// Error is one typed error.
type Error struct {
	Kind       Kind
	Message    string        // what is wrong
	Remedy     string        // what the reader can do about it
	Field      string        // path of the field in a document, where there is one
	Execution  Execution     // whether the request can have run
	RetryAfter time.Duration // when to come back; zero when coming back is of no use
	Cause      error         // kept for logs, never shown to callers
}

// New returns an error of a request that did not run.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy, Execution: NotRun}
}

// Newf is New with a formatted message.
func Newf(kind Kind, remedy, format string, args ...any) *Error {
	return New(kind, fmt.Sprintf(format, args...), remedy)
}

// WithCause returns a copy that carries the cause for logs.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// MayHaveRun returns a copy that says the request can have run.
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

// From returns err as an *Error. An untyped error becomes Internal with an
// unknown execution, because nothing proves that it did not run.
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

// IsKind reports whether err is a typed error of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
