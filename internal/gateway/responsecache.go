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
	maxCacheEntries    = 4096      // idempotency keys on one host
	maxCachedBodyBytes = 256 << 10 // larger responses are not cached
	maxCacheBytes      = 32 << 20  // all cached response bodies together
)

// responseCache deduplicates requests with an idempotency key that may be
// repeated. A retry during the first run waits for the run's response; a later
// one gets the cached response. The cache covers this host's requests only and
// evicts the oldest entry first.
type responseCache struct {
	mu        sync.Mutex
	entries   map[string]*cacheEntry
	order     []string
	bodyBytes int // all cached response bodies together
}

// cacheEntry is the first request of an idempotency key.
type cacheEntry struct {
	fingerprint string
	done        chan struct{}
	response    *claim.Response // set before done is closed; nil without a complete response
}

func newResponseCache() *responseCache { return &responseCache{entries: map[string]*cacheEntry{}} }

// join returns the entry of a name, and whether the request is the first and must run.
func (c *responseCache) join(name, fingerprint string) (*cacheEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry, ok := c.entries[name]; ok {
		return entry, false
	}
	if len(c.order) >= maxCacheEntries {
		c.evict(c.order[0])
	}
	entry := &cacheEntry{fingerprint: fingerprint, done: make(chan struct{})}
	c.entries[name] = entry
	c.order = append(c.order, name)
	return entry, true
}

// complete finishes an entry. An entry without a complete response is evicted.
func (c *responseCache) complete(name string, entry *cacheEntry, response *claim.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.response = response
	close(entry.done)
	if c.entries[name] != entry {
		return
	}
	if response == nil {
		c.evict(name)
		return
	}
	c.bodyBytes += len(response.Body)
	for c.bodyBytes > maxCacheBytes {
		c.evict(c.order[0])
	}
}

// evict removes an entry; the caller holds mu.
func (c *responseCache) evict(name string) {
	if response := c.entries[name].response; response != nil {
		c.bodyBytes -= len(response.Body)
	}
	delete(c.entries, name)
	index := slices.Index(c.order, name)
	c.order = slices.Delete(c.order, index, index+1)
}

// wait returns the response, or nil if the run ended without a complete one.
func (e *cacheEntry) wait(ctx context.Context) (*claim.Response, error) {
	select {
	case <-e.done:
		return e.response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordingWriter copies the response that it writes, up to maxCachedBodyBytes.
type recordingWriter struct {
	http.ResponseWriter
	status   int
	body     bytes.Buffer
	overflow bool
	complete bool // the upstream sent a complete response
}

// WriteHeader implements http.ResponseWriter.
func (r *recordingWriter) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recordingWriter) Write(p []byte) (int, error) {
	if r.body.Len()+len(p) > maxCachedBodyBytes {
		r.overflow = true
	} else {
		r.body.Write(p)
	}
	return r.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (r *recordingWriter) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// response returns the recorded response, or nil if it is too large.
func (r *recordingWriter) response() *claim.Response {
	if r.overflow {
		return nil
	}
	header := http.Header{}
	for _, name := range responseHeaders {
		if values := r.Header().Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return &claim.Response{Status: r.status, Header: header, Body: bytes.Clone(r.body.Bytes())}
}
