package app

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// defaultDrainTime exceeds the usual interval of balancers' readiness checks times
	// the number of failed checks after which they remove a host.
	defaultDrainTime = 5 * time.Second
	defaultStopTime  = 60 * time.Second
	releaseTimeout   = 5 * time.Second
	// quietPeriod without a new request indicates that the balancers have removed the
	// host. A balancer may take longer than the drain time if the balancer or the host
	// is short of processor time.
	quietPeriod = 500 * time.Millisecond
	// maxDrainFactor bounds the wait for a quiet period, as a multiple of the drain
	// time: callers that don't check readiness keep sending requests.
	maxDrainFactor = 4
)

// drainer counts the requests in progress and, once draining has begun, asks callers
// to close their persistent connections. The host doesn't close idle connections
// itself, because a request could arrive on one at the same time and be lost.
type drainer struct {
	once     sync.Once
	begun    chan struct{}
	inFlight atomic.Int64

	mu            sync.Mutex
	lastArrivalAt time.Time // arrival of the last request
}

func newDrainer() *drainer { return &drainer{begun: make(chan struct{})} }

func (d *drainer) recordArrival() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastArrivalAt = time.Now()
}

func (d *drainer) lastArrival() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastArrivalAt
}

// waitUntilQuiet waits for the drain time, and then until no request has arrived for
// quietPeriod.
func (d *drainer) waitUntilQuiet(ctx context.Context, drainTime time.Duration) {
	started := time.Now()
	sleep(ctx, drainTime)
	for ctx.Err() == nil && time.Since(started) < maxDrainFactor*drainTime {
		remaining := quietPeriod - time.Since(d.lastArrival())
		if remaining <= 0 {
			return
		}
		sleep(ctx, remaining)
	}
}

func (d *drainer) begin() { d.once.Do(func() { close(d.begun) }) }

func (d *drainer) hasBegun() bool {
	select {
	case <-d.begun:
		return true
	default:
		return false
	}
}

// track wraps the handler for callers to count its requests.
func (d *drainer) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		d.recordArrival()
		defer d.inFlight.Add(-1)
		if d.hasBegun() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop shuts the host down gracefully: it reports "not ready", continues to serve
// until the balancer has removed the host, lets the batch runner release its chunks,
// finishes the accepted requests, and releases the rate shares and the host's lease.
func (h *Host) stop(force context.Context, listeners []listener, stopRunner func(), runnerDone <-chan struct{}) {
	h.drainer.begin()
	h.Log.WithField("event", "host_stopping").Info("host is shutting down; its listeners close after the drain time")
	stopCtx, cancel := context.WithTimeout(force, h.stopTime())
	defer cancel()
	stopRunner()
	var leaving sync.WaitGroup
	leaving.Go(func() { h.Registry.Leave(stopCtx) })
	h.drainer.waitUntilQuiet(stopCtx, h.drainTime())
	select {
	case <-runnerDone:
	case <-stopCtx.Done():
	}
	h.shutdown(stopCtx, listeners)
	leaving.Wait()
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(force), releaseTimeout)
	defer cancelRelease()
	h.Rates.ReleaseShares(releaseCtx)
	h.Registry.Resign(releaseCtx)
}

// shutdown shuts down the listeners in order. The one for callers is first, so that
// its last requests can still use the connections to peers.
func (h *Host) shutdown(ctx context.Context, listeners []listener) {
	for _, l := range listeners {
		err := l.server.Shutdown(ctx)
		if err == nil {
			continue
		}
		h.Log.WithError(err).WithFields(logrus.Fields{
			"event": "stop_forced", "listener": l.name, "requests_cut": h.drainer.inFlight.Load(),
		}).Warn("shutdown was forced; requests in progress were aborted")
		h.guard.Close()
		_ = l.server.Close()
	}
}

func (h *Host) drainTime() time.Duration { return secondsOr(h.Settings.DrainSeconds, defaultDrainTime) }

func (h *Host) stopTime() time.Duration { return secondsOr(h.Settings.StopSeconds, defaultStopTime) }

func secondsOr(n float64, fallback time.Duration) time.Duration {
	if n <= 0 {
		return fallback
	}
	return time.Duration(n * float64(time.Second))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
