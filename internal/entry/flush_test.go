package entry_test

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// TestEventsWaitForAResumption guards against events that reach their caller only once the
// stream was resumed, because they arrived together with one that is out of order.
func TestEventsWaitForAResumption(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		w := httptest.NewRecorder()
		flushed := false
		s := &script{steps: steps(streamOf(eventText(1, 2)+eventText(9, 9), false), func(call entry.Call) (*entry.Response, error) {
			flushed = w.Flushed
			time.Sleep(time.Second)
			return events(3, 4, false)(call)
		})}
		h := entry.NewHandler(newCore(4), s, telemetry.NewMetrics(), log)
		err := h.Serve(context.Background(), entry.Request{ID: "r", Method: "POST", Target: "/stream/x", Path: "/stream/x", Host: hostName, Key: "k", TimeLeft: 5 * time.Second}, w)
		c.Check(err, qt.IsNil)
		c.Check(w.Body.String(), qt.Equals, eventText(1, 4))
		c.Check(flushed, qt.IsTrue)
	})
}

// TestDiscardedRunSendsNoHeader guards against a header that is sent for a run whose first
// event is out of order.
func TestDiscardedRunSendsNoHeader(t *testing.T) {
	c := qt.New(t)
	w, err := serve(newCore(1), &script{steps: steps(streamOf(eventText(2, 4), false))}, "/stream/x", "k")
	c.Check(err, qt.IsNotNil)
	c.Check(w.Flushed, qt.IsFalse)
}
