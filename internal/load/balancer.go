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

// MaxReadinessDelay is the longest time that the balancer still sends new
// requests to a host that has become unready: a round of checks already in
// progress, the interval, and the check that detects it.
const MaxReadinessDelay = 2*checkTimeout + checkInterval

// balancer emulates the platform's load balancer. It distributes requests
// round-robin over the hosts that report ready.
type balancer struct {
	client *http.Client
	hosts  []string
	next   atomic.Uint64

	mu    sync.Mutex
	ready []string
}

func newBalancer(hosts []string) *balancer {
	return &balancer{client: &http.Client{Timeout: checkTimeout}, hosts: hosts, ready: hosts}
}

// runChecks checks the readiness of the hosts until ctx is done.
func (b *balancer) runChecks(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		b.checkAll(ctx)
		select {
		case <-ctx.Done():
			b.client.CloseIdleConnections()
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) checkAll(ctx context.Context) {
	isUp := make([]bool, len(b.hosts))
	var wg sync.WaitGroup
	for i, host := range b.hosts {
		wg.Go(func() { isUp[i] = b.isReady(ctx, host) })
	}
	wg.Wait()
	var ready []string
	for i, host := range b.hosts {
		if isUp[i] {
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

// pickHost returns the next ready host. It fails open: if no host is ready, it
// picks from all hosts.
func (b *balancer) pickHost() string {
	b.mu.Lock()
	hosts := b.ready
	b.mu.Unlock()
	if len(hosts) == 0 {
		hosts = b.hosts
	}
	return hosts[b.next.Add(1)%uint64(len(hosts))]
}
