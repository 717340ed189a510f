package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/fleet"
)

// Call is one attempt at an upstream.
type Call struct {
	Upstream    fleet.Upstream
	ID          string // of the request or item, as its sender gave it
	Method      string
	Target      string // path and query, unchanged
	Host        string
	Team        string // "" where the route is public
	Header      http.Header
	Body        []byte
	Left        time.Duration // after which the answer is of no use
	ResumeAfter string        // id of the last event that is known; "" starts the stream
	Silence     time.Duration // without a byte after which the attempt has failed; 0 waits on
}

// Response is the beginning of an upstream's answer. Body must be closed; reading
// it to its end without an error means that it is whole.
type Response struct {
	Status int
	Header http.Header // to be passed on
	Body   io.ReadCloser
	Events bool // the body is a stream of events
	NotRun bool // the upstream says that it did not run the request
	Moved  bool // another instance answered at the address
	Load   *Load
}

// Load is what an upstream tells of itself with an answer.
type Load struct {
	Running int // requests in its slots
	Waiting int // requests in its queue
}

// UpstreamClient sends requests to upstreams.
type UpstreamClient interface {
	// Do returns an error that is a *SendError when no answer began.
	Do(ctx context.Context, call Call) (*Response, error)
}

// ErrDeadlineExceeded means that a caller's time was over before the attempt.
var ErrDeadlineExceeded = errors.New("no time is left for the request")

// SendError is an attempt without an answer.
type SendError struct {
	NotRun bool // nothing was sent, so the request can't have run
	Err    error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }
