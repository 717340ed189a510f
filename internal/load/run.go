package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxInFlight         = 20_000
	sampleBufferSize    = 4096
	dialTimeout         = 5 * time.Second
	maxIdleConnsPerHost = 1024
	progressInterval    = time.Second
)

// Progress is called periodically during a run.
type Progress func(elapsed time.Duration, started, ended int)

// Run sends the plan's load and returns the measurements. It returns when all
// requests have ended and the batch job, if any, has completed or timed out, or when
// ctx is done.
func Run(ctx context.Context, p Plan, progress Progress) (*Result, error) {
	return RunUntil(ctx, nil, p, progress)
}

// RunUntil is like Run but starts no new requests after stop is closed.
// Requests in flight run to completion.
func RunUntil(ctx context.Context, stop <-chan struct{}, p Plan, progress Progress) (*Result, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	checksCtx, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	balancer := newBalancer(p.Hosts)
	var background sync.WaitGroup
	background.Go(func() { balancer.runChecks(checksCtx) })
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	recorder := newRecorder(p)
	samples := make(chan sample, sampleBufferSize)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for s := range samples {
			recorder.add(s)
		}
	}()
	batch := startBatch(ctx, p)
	started := time.Now()
	sendAll(ctx, stop, p, &requestSender{client: client, balancer: balancer}, samples, progress)
	close(samples)
	<-recorded
	result := recorder.result()
	result.OnlineSeconds = time.Since(started).Seconds()
	result.Batch = batch.waitForJob(ctx)
	stopChecks()
	background.Wait()
	return result, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// sendAll starts each request at its planned time and waits for all of them. It
// records a request as Dropped if maxInFlight requests are already open.
func sendAll(ctx context.Context, stop <-chan struct{}, p Plan, c *requestSender, samples chan<- sample, progress Progress) {
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	started := time.Now()
	reported := started
	for n, a := range p.arrivals() {
		if !sleepUntil(ctx, stop, started.Add(a.at)) {
			break
		}
		if progress != nil && time.Since(reported) > progressInterval {
			reported = time.Now()
			progress(time.Since(started), n, n-len(inFlight))
		}
		select {
		case inFlight <- struct{}{}:
		default:
			samples <- sample{team: a.team, at: a.at, outcome: Dropped}
			continue
		}
		wg.Go(func() {
			samples <- c.send(ctx, started, p.Teams[a.team], a)
			<-inFlight
		})
	}
	wg.Wait()
}

// sleepUntil waits until the given time. It returns false if ctx or stop ends
// the wait first.
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
