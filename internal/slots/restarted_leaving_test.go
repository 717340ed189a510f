package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/slots"
)

// TestAnnouncementOfAnUnknownRestart guards against using an upstream that has announced
// that it leaves, after the registry tells that it had started again, under the same id,
// before it announced so.
func TestAnnouncementOfAnUnknownRestart(t *testing.T) {
	c := qt.New(t)
	first := upstreams(1, 8)[0]
	first.Started = time.Unix(1000, 0)
	second := first
	second.Started = time.Unix(1010, 0)
	b := slots.NewBalancer("dc", 1)
	b.PutUpstream(first)
	b.ReportLeaving(first, time.Unix(1020, 0))
	b.PutUpstream(second)
	_, placed := b.PlaceOnline(first.Service, nil, time.Unix(1021, 0))
	c.Assert(placed, qt.IsFalse)
}
