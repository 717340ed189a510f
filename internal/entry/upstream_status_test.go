package entry_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// TestLoggedStatusIsThatOfAnEarlierAttempt guards against a log that shows the response of
// an earlier attempt as that of the last one, which had none.
func TestLoggedStatusIsThatOfAnEarlierAttempt(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		log, out := logrus.New(), new(bytes.Buffer)
		log.SetOutput(out)
		h := entry.NewHandler(newCore(4), &script{steps: steps(events(1, 2, true), noResponse, noResponse)}, telemetry.NewMetrics(), log)
		err := h.Serve(context.Background(), entry.Request{ID: "r", Method: "POST", Target: "/stream/x", Path: "/stream/x", Host: hostName, Key: "k", TimeLeft: 5 * time.Second}, httptest.NewRecorder())
		c.Check(err, qt.IsNotNil)
		c.Check(out.String(), qt.Contains, "upstream_status=0")
		c.Check(out.String(), qt.Contains, "event_stream=false")
	})
}
