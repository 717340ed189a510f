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

// TestAnnouncementOfAnUnknownRestartIsKeptForGood guards against an upstream that is out of
// use for good because a response of the process before arrived after its start.
func TestAnnouncementOfAnUnknownRestartIsKeptForGood(t *testing.T) {
	c := qt.New(t)
	first := upstreams(1, 8)[0]
	first.Started = time.Unix(1000, 0)
	second := first
	second.Started = time.Unix(1010, 0)
	b := slots.NewBalancer("dc", 1)
	b.PutUpstream(first)
	b.ReportLeaving(first, time.Unix(1020, 0))
	b.PutUpstream(second)
	for _, tc := range []struct {
		at     int64
		placed bool
	}{{1021, false}, {1049, false}, {1050, true}, {2000, true}} {
		b.ForgetAnnouncements(time.Unix(tc.at, 0))
		b.PutUpstream(second)
		_, placed := b.PlaceOnline(first.Service, nil, time.Unix(tc.at, 0))
		c.Check(placed, qt.Equals, tc.placed, qt.Commentf("at %d", tc.at))
	}
}
