package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxOpen       = 20_000
	sampleRing    = 4096
	dialTimeout   = 5 * time.Second
	idlePerHost   = 1024
	progressEvery = time.Second
)

// Progress is told about a run while it goes on.
type Progress func(elapsed time.Duration, started, ended int)

// Run sends the plan's load and returns what was seen. It ends when every
// request has ended, or when ctx is done.
func Run(ctx context.Context, p Plan, progress Progress) (*Result, error) {
	return RunUntil(ctx, nil, p, progress)
}

// RunUntil is Run, but starts no further request once stop is closed; those
// under way still end by themselves.
func RunUntil(ctx context.Context, stop <-chan struct{}, p Plan, progress Progress) (*Result, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	checks, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	b := newBalancer(p.Hosts)
	var duties sync.WaitGroup
	duties.Go(func() { b.run(checks) })
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	recorder := newRecorder(p)
	samples := make(chan sample, sampleRing)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for s := range samples {
			recorder.add(s)
		}
	}()
	batch := startBatch(ctx, p)
	started := time.Now()
	sendAll(ctx, stop, p, &caller{client: client, balancer: b}, samples, progress)
	close(samples)
	<-recorded
	result := recorder.result()
	result.OnlineSeconds = time.Since(started).Seconds()
	result.Batch = batch.end(ctx)
	stopChecks()
	duties.Wait()
	return result, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// sendAll starts each request at its planned time.
func sendAll(ctx context.Context, stop <-chan struct{}, p Plan, c *caller, samples chan<- sample, progress Progress) {
	var wg sync.WaitGroup
	open := make(chan struct{}, maxOpen)
	started := time.Now()
	reported := started
	for n, a := range p.arrivals() {
		if !sleepUntil(ctx, stop, started.Add(a.at)) {
			break
		}
		if progress != nil && time.Since(reported) > progressEvery {
			reported = time.Now()
			progress(time.Since(started), n, n-len(open))
		}
		select {
		case open <- struct{}{}:
		default:
			samples <- sample{team: a.team, at: a.at, end: Dropped}
			continue
		}
		wg.Go(func() {
			samples <- c.run(ctx, started, p.Teams[a.team], a)
			<-open
		})
	}
	wg.Wait()
}

// sleepUntil waits for a time, and reports false when it was interrupted.
func sleepUntil(ctx context.Context, stop <-chan struct{}, at time.Time) bool {
	timer := time.NewTimer(max(time.Until(at), 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-stop:
		return false
	case <-timer.C:
		return true
	}
}
