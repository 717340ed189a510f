package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// Call is one attempt of a request, as the upstream gets it.
type Call struct {
	Method     string
	Path       string
	RawQuery   string
	Header     http.Header // built from an allow-list; never carries a key
	Body       []byte
	Repeatable bool // whether running it twice does no harm
	Fresh      bool // uses a new connection, since a kept one may have been forgotten by the network
	// Permit, where set, is asked before the call and again before its first byte
	// is written; its error stops the call, which then was not sent.
	Permit func() error
}

// Answer is an upstream's answer. The reader owns Body and must close it, which
// cancels what still runs.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Engine is how the system reaches upstreams. Other wire formats are other
// implementations.
type Engine interface {
	// Start sends the call and returns when the answer begins. An error is a
	// *SendError where it can be told whether the call was sent.
	Start(ctx context.Context, address string, call Call) (*Answer, error)
	// Load reads the upstream's own report, which lags.
	Load(ctx context.Context, address string) (Load, error)
	// Healthy returns an error when the upstream cannot take new work.
	Healthy(ctx context.Context, address string) error
}

// SendError says whether an attempt that failed can have reached the upstream.
type SendError struct {
	Sent  bool // a connection was made, so the upstream can have acted
	Cause error
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// CanHaveRun reports whether a failed attempt can have reached the upstream.
func CanHaveRun(err error) bool {
	var e *SendError
	return !errors.As(err, &e) || e.Sent
}
