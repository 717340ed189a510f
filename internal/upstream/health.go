package upstream

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// StatusError is a health check or load report that was answered, but not with
// success.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the upstream answered %d %s", e.Status, http.StatusText(e.Status))
}

// Health is what a health check tells.
type Health string

// The results of a health check.
const (
	Alive    Health = "alive"
	Draining Health = "draining" // answers, but takes no new work
	Gone     Health = "gone"     // nobody answers
)

// HealthOf reads the error of a health check. An upstream without a health
// check is alive when it answers at all.
func HealthOf(err error) Health {
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
