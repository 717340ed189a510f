package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/slots"
)

// queueFor takes all slots of a service and queues requests for it until the returned
// function is called.
func queueFor(core *Core, service string, requests int) (stop func()) {
	budget := slots.WaitBudget{LatencyTarget: time.Hour, TimeLeft: time.Hour}
	ctx, cancel := context.WithCancel(context.Background())
	for {
		core.mu.Lock()
		_, free := core.balancer.PlaceOnline(service, nil, time.Now())
		core.mu.Unlock()
		if !free {
			break
		}
		_, _ = core.Acquire(ctx, SlotRequest{Service: service, WaitBudget: budget})
	}
	var waiting sync.WaitGroup
	for range requests {
		waiting.Go(func() { _, _ = core.Acquire(ctx, SlotRequest{Service: service, WaitBudget: budget}) })
	}
	for queued := 0; queued < requests; time.Sleep(time.Millisecond) {
		core.mu.Lock()
		queued = len(core.queue.Sorted(time.Now()))
		core.mu.Unlock()
	}
	return func() {
		cancel()
		waiting.Wait()
	}
}

// registrationTime returns the least time that the entry of an upstream takes at a host that
// knows 2,000 upstreams of ten services, beside requests that wait for another service.
func registrationTime(waiting int) time.Duration {
	core, _ := newLargeFleetCore(1)
	var list []fleet.Upstream
	for i := range 2000 {
		u := newUpstream(i)
		u.Service, u.Slots = string(rune('a'+i%10)), 1
		list = append(list, u)
	}
	core.SetUpstreams(list, 1)
	defer queueFor(core, "a", waiting)()
	least := time.Hour
	for n := range 50 {
		u := list[1]
		u.Started = time.Unix(int64(n), 0)
		start := time.Now()
		core.UpdateUpstreams([]fleet.Upstream{u}, nil, int64(2+n))
		least = min(least, time.Since(start))
	}
	return least
}

// TestRegistrationPlacesEachQueuedRequest guards against a search among all upstreams for
// each queued request when an upstream registers, though none of its service is free.
func TestRegistrationPlacesEachQueuedRequest(t *testing.T) {
	c := qt.New(t)
	few, many := registrationTime(1), registrationTime(200)
	c.Assert(many < 20*few, qt.IsTrue, qt.Commentf("%v beside one queued request, %v beside 200", few, many))
}
