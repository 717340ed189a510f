package jobs_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/jobs"
	"github.com/masticscale/masticscale/internal/objstore"
)

// slowResultLists is a store whose lists of results take longer than any time limit, as those of
// a megabyte do over a slow link.
type slowResultLists struct{ jobs.Store }

func (s slowResultLists) List(ctx context.Context, kind objstore.Kind, prefix string) ([]objstore.Object, int64, error) {
	if kind == jobs.KindResults {
		<-ctx.Done()
		return nil, 0, objstore.ErrNoResponse
	}
	return s.Store.List(ctx, kind, prefix)
}

// TestJobHasNoOwnerWhileListsAreSlow guards against jobs that no host takes over, because each
// claim lists the results of other jobs, too.
func TestJobHasNoOwnerWhileListsAreSlow(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		w.wrapStore = func(s jobs.Store) jobs.Store { return slowResultLists{s} }
		h1, h2, _ := w.start("h1"), w.start("h2"), w.start("h3")
		time.Sleep(time.Second)
		s := submission("j", 40)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(2 * time.Second)
		_, results, err := h1.read("j")
		c.Assert(err, qt.IsNil)
		c.Assert(len(results) > 8, qt.IsTrue, qt.Commentf("results that the next owner must read"))
		h1.kill()
		time.Sleep(30 * time.Second)
		w.checkResults(h2, s)
	})
}
