package dispatch

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/masticscale/masticscale/internal/upstream"
)

// reportingEngine is an upstream whose load report is set by the test.
type reportingEngine struct {
	upstream.Engine
	load upstream.Load
	err  error
}

func (e *reportingEngine) Load(context.Context, string) (upstream.Load, error) { return e.load, e.err }

// TestFailedLoadReportIsNotLogged guards against upstreams whose reports are lost without a
// word, and against a log line for each poll.
func TestFailedLoadReportIsNotLogged(t *testing.T) {
	c := qt.New(t)
	log, logged := logtest.NewNullLogger()
	pool := NewPool()
	pool.Apply(snapshotOf("u1"))
	e := &reportingEngine{load: upstream.Load{Running: 5}}
	o := NewObserver(pool, e, nil, singleHost{"h1"}, log)
	o.readReports(t.Context())
	c.Assert(logged.AllEntries(), qt.HasLen, 0)
	for _, lines := range []int{1, 2} {
		e.err = errors.New("the load report lacks a field")
		for range 3 {
			o.readReports(t.Context())
		}
		c.Assert(logged.AllEntries(), qt.HasLen, lines)
		c.Assert(logged.LastEntry().Data["event"], qt.Equals, "load_report_failed")
		c.Assert(logged.LastEntry().Data["upstream"], qt.Equals, testService+"/u1")
		c.Assert(logged.LastEntry().Data[logrus.ErrorKey], qt.Equals, e.err)
		c.Assert(pool.Statuses()[0].Reported, qt.Equals, 5)
		e.err = nil
		o.readReports(t.Context())
	}
}
