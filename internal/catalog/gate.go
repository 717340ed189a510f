package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
)

const (
	catchUpBound = 2 * time.Second // wait of one request for the host to catch up
	refusedRetry = 2 * time.Second
)

// gate is closed while the host catches up after it was out of touch.
type gate struct {
	mu      sync.Mutex
	holders int
	open    chan struct{} // nil while the gate is open, else closed when it opens
}

// hold closes the gate until the returned function is called by every holder.
func (g *gate) hold() (release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holders == 0 {
		g.open = make(chan struct{})
	}
	g.holders++
	return sync.OnceFunc(g.release)
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holders--
	if g.holders == 0 {
		close(g.open)
		g.open = nil
	}
}

func (g *gate) wait() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Usable returns an error when requests must not run on what the host knows:
// when its knowledge is older than limits.max_knowledge_age_seconds, or while
// it has not caught up after it was out of touch. It waits a short time for the
// latter.
func (c *Catalog) Usable(ctx context.Context) error {
	if opens := c.catchUp.wait(); opens != nil {
		timer := time.NewTimer(catchUpBound)
		defer timer.Stop()
		select {
		case <-opens:
		case <-ctx.Done():
			return apierr.New(apierr.Cancelled, "the caller went away", "")
		case <-timer.C:
			return apierr.New(apierr.Unavailable, "this host is catching up with changes that it missed", "send the request again").
				WithRetryAfter(refusedRetry)
		}
	}
	limit := c.Current().Limits.MaxKnowledgeAge()
	if limit == 0 {
		return nil
	}
	if age := c.Age(time.Now()); age > limit {
		return apierr.New(apierr.Unavailable, "this host has been out of touch for longer than the operators allow",
			"send the request again; another host may take it").WithRetryAfter(refusedRetry)
	}
	return nil
}
