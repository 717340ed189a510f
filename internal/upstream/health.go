package upstream

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// StatusError means that the upstream responded to a health check or to a request
// for its load report with a status other than 200.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the upstream answered %d %s", e.Status, http.StatusText(e.Status))
}

// Health is the result of a health check.
type Health string

// The results of a health check.
const (
	Alive    Health = "alive"
	Draining Health = "draining" // responds, but takes no new requests
	Gone     Health = "gone"     // does not respond
)

// HealthFromError returns the health that the error of a health check implies. An
// upstream without a health endpoint is alive if it responds at all.
func HealthFromError(err error) Health {
	var status *StatusError
	switch {
	case err == nil:
		return Alive
	case !errors.As(err, &status):
		return Gone
	case status.Status == http.StatusServiceUnavailable:
		return Draining
	default:
		return Alive
	}
}
