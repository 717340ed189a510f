package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// Call is one attempt of a request, as it is sent to the upstream.
type Call struct {
	Method     string
	Path       string
	RawQuery   string
	Header     http.Header // built from an allow-list; never contains an API key
	Body       []byte
	Repeatable bool // whether it is safe to run the call twice
	Fresh      bool // uses a new connection, because the network may have dropped an idle one
	// Permit is optional. It is called before the call and again before the first
	// byte is written. If it returns an error, the call fails without being sent.
	Permit func() error
}

// Response is an upstream's response. The reader owns Body and must close it;
// closing it cancels a call that is still running.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser

	// Undelimited states that neither a length nor a last chunk marks the end of Body. It ends
	// with its connection.
	Undelimited bool
}

// Engine makes calls to upstreams. Each wire format is one implementation.
type Engine interface {
	// Start sends the call and returns once the response headers have arrived. Its
	// error is a *SendError if it is known whether the call was sent.
	Start(ctx context.Context, address string, call Call) (*Response, error)
	// Load returns the upstream's own load report, which lags behind.
	Load(ctx context.Context, address string) (Load, error)
	// CheckHealth returns an error if the upstream can't take new requests.
	CheckHealth(ctx context.Context, address string) error
}

// SendError is the error of a failed attempt. It tells whether the attempt may
// have reached the upstream.
type SendError struct {
	Sent  bool // some bytes may have been sent, so the upstream may have acted
	Cause error
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether a failed attempt may have reached the upstream.
func MayHaveRun(err error) bool {
	var e *SendError
	return !errors.As(err, &e) || e.Sent
}
