package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
)

const (
	catchUpTimeout        = 2 * time.Second // longest wait of a request for the host to catch up
	unavailableRetryAfter = 2 * time.Second
)

// gate holds requests while the host catches up after a loss of contact.
type gate struct {
	mu      sync.Mutex
	holders int
	opened  chan struct{} // nil while the gate is open, otherwise closed when it opens
}

// close closes the gate until every holder has called its release function.
func (g *gate) close() (release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holders == 0 {
		g.opened = make(chan struct{})
	}
	g.holders++
	return sync.OnceFunc(g.release)
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holders--
	if g.holders == 0 {
		close(g.opened)
		g.opened = nil
	}
}

func (g *gate) waitChan() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened
}

// CheckFreshness returns an error if requests must not use the host's state: if it
// is older than limits.max_knowledge_age_seconds, or if the host has not caught up
// after a loss of contact. It waits up to catchUpTimeout for the host to catch up.
func (c *Catalog) CheckFreshness(ctx context.Context) error {
	if opens := c.catchUpGate.waitChan(); opens != nil {
		timer := time.NewTimer(catchUpTimeout)
		defer timer.Stop()
		select {
		case <-opens:
		case <-ctx.Done():
			return apierr.New(apierr.Cancelled, "the caller went away", "")
		case <-timer.C:
			return apierr.New(apierr.Unavailable, "this host is catching up with changes that it missed", "send the request again").
				WithRetryAfter(unavailableRetryAfter)
		}
	}
	limit := c.Current().Limits.MaxKnowledgeAge()
	if limit == 0 {
		return nil
	}
	if age := c.Age(time.Now()); age > limit {
		return apierr.New(apierr.Unavailable, "this host has been out of touch for longer than the operators allow",
			"send the request again; another host may take it").WithRetryAfter(unavailableRetryAfter)
	}
	return nil
}
