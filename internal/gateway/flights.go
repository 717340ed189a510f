package gateway

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/masticscale/masticscale/internal/claim"
)

const (
	maxFlights     = 4096      // keys remembered by one host
	maxFlightBytes = 256 << 10 // larger answers are not kept
	maxKnownBytes  = 32 << 20  // of all kept answers
)

// flights joins resends of keyed requests that may be repeated: one that comes
// while the first runs waits for its answer, a later one gets the kept answer.
// It knows this host's requests only and forgets the oldest first.
type flights struct {
	mu    sync.Mutex
	known map[string]*flight
	order []string
	bytes int // of all kept answers
}

// flight is one keyed request.
type flight struct {
	fingerprint string
	done        chan struct{}
	answer      *claim.Response // set before done is closed; nil if no whole answer came
}

func newFlights() *flights { return &flights{known: map[string]*flight{}} }

// join returns the flight of a name, and whether this request is to run it.
func (f *flights) join(name, fingerprint string) (*flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.known[name]; ok {
		return known, false
	}
	if len(f.order) >= maxFlights {
		f.forget(f.order[0])
	}
	first := &flight{fingerprint: fingerprint, done: make(chan struct{})}
	f.known[name] = first
	f.order = append(f.order, name)
	return first, true
}

// land ends a flight. One without a whole answer is forgotten.
func (f *flights) land(name string, first *flight, answer *claim.Response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first.answer = answer
	close(first.done)
	if f.known[name] != first {
		return
	}
	if answer == nil {
		f.forget(name)
		return
	}
	f.bytes += len(answer.Body)
	for f.bytes > maxKnownBytes {
		f.forget(f.order[0])
	}
}

// forget drops a flight; the caller holds mu.
func (f *flights) forget(name string) {
	if kept := f.known[name].answer; kept != nil {
		f.bytes -= len(kept.Body)
	}
	delete(f.known, name)
	i := slices.Index(f.order, name)
	f.order = slices.Delete(f.order, i, i+1)
}

// wait returns the flight's answer, or nil when it ended without one.
func (fl *flight) wait(ctx context.Context) (*claim.Response, error) {
	select {
	case <-fl.done:
		return fl.answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recorder keeps what it passes on, up to a limit.
type recorder struct {
	http.ResponseWriter
	status   int
	body     bytes.Buffer
	overflow bool
	whole    bool // the answer came whole from the upstream
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	if r.body.Len()+len(p) > maxFlightBytes {
		r.overflow = true
	} else {
		r.body.Write(p)
	}
	return r.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// kept returns the recorded answer, or nil when it is too large.
func (r *recorder) kept() *claim.Response {
	if r.overflow {
		return nil
	}
	header := http.Header{}
	for _, name := range passHeader {
		if values := r.Header().Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return &claim.Response{Status: r.status, Header: header, Body: bytes.Clone(r.body.Bytes())}
}
