package catalog_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/objstore"
)

// TestConcurrentAcceptHasOneWinner lets operators replace the same revision
// concurrently while the platform loses responses. In each round one must succeed,
// and the errors of the others must name its author.
func TestConcurrentAcceptHasOneWinner(t *testing.T) {
	const rounds, operators = 10, 6
	c := qt.New(t)
	b := newTestPlatform(c)
	for round := range int64(rounds) {
		b.server.Faults.Replace(fault.Faults{LoseWriteResponses: 2})
		winners, losers := acceptConcurrently(b, operators, round)
		c.Assert(winners, qt.HasLen, 1, qt.Commentf("round %d", round))
		c.Assert(losers, qt.HasLen, operators-1)
		for _, err := range losers {
			c.Assert(apierr.IsKind(err, apierr.Conflict), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(strings.Contains(err.Error(), "by "+winners[0].Author+" is in force"), qt.IsTrue, qt.Commentf("%v", err))
		}
	}
	entries, err := catalog.History(context.Background(), b.store)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, rounds)
	for i, e := range entries {
		c.Assert(e.Revision, qt.Equals, int64(rounds-i))
	}
	// The revisions that lost are deleted.
	kept, _, err := b.store.List(context.Background(), objstore.KindRevision, "")
	c.Assert(err, qt.IsNil)
	c.Assert(kept, qt.HasLen, rounds)
}

func acceptConcurrently(b *testPlatform, operators int, expected int64) ([]config.Revision, []error) {
	var mu sync.Mutex
	var winners []config.Revision
	var losers []error
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			r, err := catalog.AcceptRevision(context.Background(), b.store, config.Bundle{}, fmt.Sprintf("operator-%d", i), "", expected)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				winners = append(winners, r)
			} else {
				losers = append(losers, err)
			}
		})
	}
	wg.Wait()
	return winners, losers
}
