package dispatch

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/bodyend"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	crashSettleTime = 10 * time.Millisecond  // an ending process closes its connections and its listener one after the other
	maxEndCheck     = 100 * time.Millisecond // a crashed upstream refuses connections within milliseconds
)

// endsWithConnection reports whether nothing but the end of the connection ends the response. An
// event stream has a last event.
func endsWithConnection(response *upstream.Response) bool {
	return response.Undelimited && !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// checkEnd returns an error if the upstream, whose response has ended with its connection, has
// ended as well. One that is merely busy accepts connections.
func (d *Dispatcher) checkEnd(ctx context.Context, slot *Slot) error {
	if !sleep(ctx, crashSettleTime) {
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, maxEndCheck)
	defer cancel()
	err := d.engine.CheckHealth(ctx, slot.Address)
	return bodyend.End{UpstreamEnded: errors.Is(err, syscall.ECONNREFUSED)}.Check()
}
