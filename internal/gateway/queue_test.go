package gateway_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/upstream"
)

// TestUpstreamGotNothingWhenRejectedInQueue fills the only slot and the queue.
// A request that is reported as "not run", at once or after its timeout, must
// never have been sent.
func TestUpstreamGotNothingWhenRejectedInQueue(t *testing.T) {
	c := qt.New(t)
	s := newFakeUpstreams(c)
	s.parts.Services["cards"] = service.Spec{Kind: service.Plain, Upstreams: map[string]upstream.Spec{"u0": {Address: s.cardsURL, Slots: 1}}}
	s.limits.MaxQueuedPerTeam = 1
	s.limits.RequestTimeoutSeconds = 3
	s.cards.Faults.Replace(fault.Faults{Unresponsive: true})
	at := s.host("h1")
	replies := make(chan reply, 4)
	send := func(number string) {
		go func() { replies <- s.send("POST", at+"/disputes/a", number) }()
	}
	send("running")
	for s.executions()["running"] == 0 {
	}
	send("waiting")
	send("refused")
	send("refused")
	states := map[int]int{}
	notRun := 0
	for range 4 {
		r := <-replies
		states[r.status]++
		if r.execution() == "not_run" {
			notRun++
		}
		if r.status == http.StatusServiceUnavailable {
			c.Check(r.execution(), qt.Equals, "not_run")
			c.Check(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	}
	c.Assert(states, qt.DeepEquals, map[int]int{http.StatusServiceUnavailable: 2, http.StatusGatewayTimeout: 2})
	ran := 0
	for _, n := range s.executions() {
		ran += n
	}
	c.Assert(ran+notRun, qt.Equals, 4)
}
