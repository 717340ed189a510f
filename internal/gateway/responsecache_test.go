package gateway

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/claim"
)

// TestResponseCacheIsBounded adds more responses than the cache can hold, some of
// them for requests that are still running.
func TestResponseCacheIsBounded(t *testing.T) {
	c := qt.New(t)
	cache := newResponseCache()
	for i := range 2 * maxCacheEntries {
		name := fmt.Sprint(i)
		entry, first := cache.join(name, "p")
		c.Assert(first, qt.IsTrue)
		switch i % 3 {
		case 0:
			cache.complete(name, entry, &claim.Response{Body: make([]byte, maxCachedBodyBytes)})
		case 1:
			cache.complete(name, entry, nil)
		}
		c.Assert(cache.bodyBytes <= maxCacheBytes, qt.IsTrue)
	}
	cachedBytes := 0
	for _, entry := range cache.entries {
		if entry.response != nil {
			cachedBytes += len(entry.response.Body)
		}
	}
	c.Assert(cache.bodyBytes, qt.Equals, cachedBytes)
	c.Assert(len(cache.entries), qt.Equals, len(cache.order))
	c.Assert(len(cache.order) <= maxCacheEntries, qt.IsTrue)
}
