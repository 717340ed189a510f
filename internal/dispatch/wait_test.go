package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/upstream"
)

// TestRequestFailsAtOnceIfNoUpstreamIsLeft fails the only upstream, so that waiting
// for a slot is of no use. The request must get its final error without delay,
// although its deadline is ten minutes away.
func TestRequestFailsAtOnceIfNoUpstreamIsLeft(t *testing.T) {
	for _, tc := range []struct {
		name          string
		body          string
		breakAttempts bool
		suspect       bool // another host has reported the request as a suspect
	}{
		{"the upstream died", poison, false, false},
		{"the upstream broke the connection and is alive", "hello", true, false},
		{"a suspect's upstream broke the connection and is alive", "hello", true, true},
		{"a suspect's upstream died", poison, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet()
				f.breakAttempts = tc.breakAttempts
				h := newHosts(f, 1, "e1")[0]
				req := Request{Team: "t", Service: testService, Class: Online, Call: upstream.Call{Body: []byte(tc.body), Repeatable: true}}
				if tc.suspect {
					h.suspects.Merge(Suspicion{Fingerprint: FingerprintOf(h.suspects.key, req), Level: Suspected, Since: time.Now()})
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				start := time.Now()
				_, err := h.run(ctx, Online, tc.body)
				e := apierr.From(err)
				c.Assert(e.Execution, qt.Equals, apierr.MayHaveRun, qt.Commentf("%v", err))
				c.Assert(e.RetryAfter > 0 || e.Kind == apierr.Quarantined, qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(time.Since(start), qt.Equals, time.Duration(0), qt.Commentf("%v", err))
			})
		})
	}
}

// TestSuspectStopsWaitingWhenTrialIsImpossible lets a suspect wait behind trials
// that never end, until its upstream goes down or the suspect is quarantined. The
// wait must then end with an error, not run to the deadline.
func TestSuspectStopsWaitingWhenTrialIsImpossible(t *testing.T) {
	for _, tc := range []struct {
		name   string
		trials int
		change func(h *testHost, p Fingerprint)
		wants  apierr.Kind
	}{
		{"upstream down, no trial slot on the host", maxConcurrentTrials, func(h *testHost, _ Fingerprint) { h.pool.Observe(idOf("e1"), upstream.Gone) }, apierr.Unavailable},
		{"upstream down, another trial at the upstream", 0, func(h *testHost, _ Fingerprint) { h.pool.Observe(idOf("e1"), upstream.Gone) }, apierr.Unavailable},
		{"request quarantined, no trial slot on the host", maxConcurrentTrials, func(h *testHost, p Fingerprint) { h.suspects.Merge(Suspicion{p, Quarantined, time.Now()}) }, apierr.Quarantined},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet()
				h := newHosts(f, 1, "e1")[0]
				req := Request{Team: "t", Service: testService, Class: Online, Call: upstream.Call{Body: []byte("hello"), Repeatable: true}}
				fingerprint := FingerprintOf(h.suspects.key, req)
				h.suspects.Merge(Suspicion{fingerprint, Suspected, time.Now()})
				slot := reserve(t, h.pool, Online, 1)[0]
				for range tc.trials {
					h.suspects.trialSlots <- struct{}{}
				}
				_, ok := h.pool.Reserve(SlotRequest{Service: testService, Class: Online, Trial: true})
				c.Assert(ok, qt.IsTrue)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				ended := make(chan error)
				go func() {
					_, err := h.dispatcher.Do(ctx, req, slot)
					ended <- err
				}()
				time.Sleep(time.Minute)
				synctest.Wait()
				select {
				case err := <-ended:
					c.Fatalf("gave up early: %v", err)
				default:
				}
				tc.change(h, fingerprint)
				start := time.Now()
				err := <-ended
				c.Assert(apierr.IsKind(err, tc.wants), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(time.Since(start) <= trialInterval, qt.IsTrue, qt.Commentf("after %v", time.Since(start)))
			})
		})
	}
}

// TestUnresponsiveUpstreamTimesOut runs a request at upstreams that accept requests
// and never respond. Each attempt must end at the first-byte timeout.
func TestUnresponsiveUpstreamTimesOut(t *testing.T) {
	for _, tc := range []struct {
		repeatable bool
		attempts   int
	}{{true, 2}, {false, 1}} {
		bubbletest.Run(t, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet()
			f.gate = make(chan struct{}) // never closed
			h := newHosts(f, 1, "e1", "e2")[0]
			s := snapshotOf("e1", "e2")
			s.Limits.FirstByteSeconds = 7
			h.pool.Apply(s)
			req := Request{Team: "t", Service: testService, Class: Online, Call: upstream.Call{Repeatable: tc.repeatable}}
			start := time.Now()
			_, err := h.dispatcher.Do(t.Context(), req, reserve(t, h.pool, Online, 1)[0])
			e := apierr.From(err)
			c.Assert(e.Kind, qt.Equals, apierr.UpstreamError)
			c.Assert(e.Execution, qt.Equals, apierr.MayHaveRun)
			c.Assert(e.RetryAfter > 0, qt.IsTrue)
			c.Assert(f.attempts, qt.Equals, tc.attempts)
			c.Assert(time.Since(start), qt.Equals, time.Duration(tc.attempts)*7*time.Second)
		})
	}
}
