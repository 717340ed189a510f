package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/fleet"
)

// Call is one attempt of a request at an upstream.
type Call struct {
	Upstream    fleet.Upstream
	ID          string // of the request or batch item, as given by its sender
	Method      string
	Target      string // path and query, unchanged
	Host        string
	Team        string // "" on a public route
	Header      http.Header
	Body        []byte
	TimeLeft    time.Duration // time until the deadline
	ResumeAfter string        // ID of the last received event; "" starts the stream
	IdleTimeout time.Duration // time without a byte after which the attempt fails; 0 is unlimited

	// NewConnection asks for a connection that no other request has used. It shows that
	// the upstream is alive when the attempt starts.
	NewConnection bool
}

// Response is an upstream's response with an unread body. The caller must close
// Body. If Body is read to io.EOF, the response is complete.
type Response struct {
	Status int
	Header http.Header // to be relayed to the caller
	Body   io.ReadCloser
	Events bool // Body is an event stream
	NotRun bool // the upstream states that it did not run the request
	Moved  bool // another instance responded at the address
	Load   *Load

	// Delimited states that a length or a last chunk marks the end of Body. Any other body
	// ends with its connection.
	Delimited bool
	Leaving   bool // the upstream announces that it shuts down
}

// Load is the load that an upstream reports with a response.
type Load struct {
	Running int // requests in its slots
	Waiting int // requests in its queue
	Pace    int // percent of the usual time that work takes there now; 0 if not stated
}

// UpstreamClient sends requests to upstreams.
type UpstreamClient interface {
	// Do sends the request and returns the response once its header was read. An
	// error is a *SendError.
	Do(ctx context.Context, call Call) (*Response, error)
}

// ErrDeadlineExceeded means that the caller's deadline passed before the attempt.
var ErrDeadlineExceeded = errors.New("deadline exceeded before the attempt")

// SendError is the error of an attempt that got no response.
type SendError struct {
	NotRun        bool // no byte was sent, so the request can't have run
	NewConnection bool // the connection was made for this attempt
	Err           error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }
