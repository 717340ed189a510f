package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	checkInterval = 100 * time.Millisecond
	checkTimeout  = time.Second
)

// MaxReadinessDelay is the longest time until the balancer sends a host that reports to
// be not ready no new requests: a round of checks that had begun before, the
// interval, and the check that shows it.
const MaxReadinessDelay = 2*checkTimeout + checkInterval

// balancer stands for the platform's balancer: it sends requests in turn to the
// hosts that report to be ready.
type balancer struct {
	client *http.Client
	hosts  []string
	turn   atomic.Uint64

	mu    sync.Mutex
	ready []string
}

func newBalancer(hosts []string) *balancer {
	return &balancer{client: &http.Client{Timeout: checkTimeout}, hosts: hosts, ready: hosts}
}

// run checks the hosts until ctx is done.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		b.check(ctx)
		select {
		case <-ctx.Done():
			b.client.CloseIdleConnections()
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) check(ctx context.Context) {
	up := make([]bool, len(b.hosts))
	var wg sync.WaitGroup
	for i, host := range b.hosts {
		wg.Go(func() { up[i] = b.isReady(ctx, host) })
	}
	wg.Wait()
	var ready []string
	for i, host := range b.hosts {
		if up[i] {
			ready = append(ready, host)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *balancer) isReady(ctx context.Context, host string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, host+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns a ready host. With none ready it returns any, as a balancer
// that fails open does.
func (b *balancer) pick() string {
	b.mu.Lock()
	hosts := b.ready
	b.mu.Unlock()
	if len(hosts) == 0 {
		hosts = b.hosts
	}
	return hosts[b.turn.Add(1)%uint64(len(hosts))]
}
