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
	// defaultDrain is longer than the usual interval at which balancers check
	// readiness, times the failures that they wait for.
	defaultDrain  = 5 * time.Second
	defaultStop   = 60 * time.Second
	resignTimeout = 5 * time.Second
	// quietTime without a new request shows that balancers have noticed. Some
	// notice late, when they or this host are short of processor time.
	quietTime = 500 * time.Millisecond
	// maxDrains bounds the wait for quiet, in times of the drain time: callers that
	// never ask for readiness never stop sending.
	maxDrains = 4
)

// drain counts the requests in progress and, once a stop has begun, asks
// callers to leave their kept connections. A connection is closed by its caller
// and not by the host, because a host that closes an idle connection can meet a
// request that is on its way.
type drain struct {
	once     sync.Once
	begun    chan struct{}
	inFlight atomic.Int64

	mu   sync.Mutex
	last time.Time // arrival of the last request
}

func newDrain() *drain { return &drain{begun: make(chan struct{})} }

func (d *drain) arrived() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last = time.Now()
}

func (d *drain) lastArrival() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// settle waits for the drain time, and on until no request has come for
// quietTime.
func (d *drain) settle(ctx context.Context, drainTime time.Duration) {
	started := time.Now()
	wait(ctx, drainTime)
	for ctx.Err() == nil && time.Since(started) < maxDrains*drainTime {
		rest := quietTime - time.Since(d.lastArrival())
		if rest <= 0 {
			return
		}
		wait(ctx, rest)
	}
}

func (d *drain) begin() { d.once.Do(func() { close(d.begun) }) }

func (d *drain) stopping() bool {
	select {
	case <-d.begun:
		return true
	default:
		return false
	}
}

// track wraps the callers' handler.
func (d *drain) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		d.arrived()
		defer d.inFlight.Add(-1)
		if d.stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop is the graceful shutdown: it reports "not ready" and goes on serving
// until the balancer has noticed, lets the batch runner hand back its chunks,
// answers everything accepted, and gives the host lease back.
func (h *Host) stop(force context.Context, listeners []listener, stopRunner func(), runnerDone <-chan struct{}) {
	h.drain.begin()
	h.Log.WithField("event", "host_stopping").Info("host stops; it takes no new connections soon")
	bounded, cancel := context.WithTimeout(force, h.stopTime())
	defer cancel()
	stopRunner()
	var leaving sync.WaitGroup
	leaving.Go(func() { h.Registry.Leave(bounded) })
	h.drain.settle(bounded, h.drainTime())
	select {
	case <-runnerDone:
	case <-bounded.Done():
	}
	h.shutdown(bounded, listeners)
	leaving.Wait()
	resign, done := context.WithTimeout(context.WithoutCancel(force), resignTimeout)
	defer done()
	h.Rates.ReleaseShares(resign)
	h.Registry.Resign(resign)
}

// shutdown closes the listeners in order, callers first, so that their requests
// can still use the peers' connections.
func (h *Host) shutdown(ctx context.Context, listeners []listener) {
	for _, l := range listeners {
		err := l.server.Shutdown(ctx)
		if err == nil {
			continue
		}
		h.Log.WithError(err).WithFields(logrus.Fields{
			"event": "stop_forced", "listener": l.name, "requests_cut": h.drain.inFlight.Load(),
		}).Warn("stop was forced; requests in progress were cut")
		_ = l.server.Close()
	}
}

func (h *Host) drainTime() time.Duration { return seconds(h.Settings.DrainSeconds, defaultDrain) }

func (h *Host) stopTime() time.Duration { return seconds(h.Settings.StopSeconds, defaultStop) }

func seconds(n float64, fallback time.Duration) time.Duration {
	if n <= 0 {
		return fallback
	}
	return time.Duration(n * float64(time.Second))
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
