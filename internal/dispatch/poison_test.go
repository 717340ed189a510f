package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
)

// TestPoisonRequestIsContained sends a request that crashes its engine through
// every host. The trial must keep the loss to two upstreams, and the unrelated
// requests in flight must all succeed.
func TestPoisonRequestIsContained(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		f.gate = make(chan struct{})
		hosts := newHosts(f, 4, "e1", "e2", "e3", "e4", "e5", "e6")
		var wg sync.WaitGroup
		responses := make([]string, 40)
		failures := make([]error, len(responses))
		for i := range responses {
			wg.Go(func() {
				responses[i], failures[i] = hosts[i%len(hosts)].run(context.Background(), Online, fmt.Sprintf("unrelated %d", i))
			})
		}
		synctest.Wait()
		go func() {
			time.Sleep(time.Second)
			close(f.gate)
		}()
		for _, h := range hosts {
			_, err := h.run(context.Background(), Online, poison)
			c.Assert(apierr.IsKind(err, apierr.Quarantined), qt.IsTrue, qt.Commentf("%v", err))
		}
		wg.Wait()
		c.Assert(f.deadCount() <= 2, qt.IsTrue, qt.Commentf("%d upstreams lost", f.deadCount()))
		for i := range responses {
			c.Assert(failures[i], qt.IsNil)
			c.Assert(responses[i], qt.Equals, fmt.Sprintf("unrelated %d", i))
		}
		c.Assert(len(f.objects), qt.Equals, 1, qt.Commentf("%v", f.objects))
	})
}

func TestBrokenConnectionDoesNotSuspectRequest(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		f.breakAttempts = true
		h := newHosts(f, 1, "e1", "e2", "e3", "e4")[0]
		for range 3 {
			_, err := h.run(context.Background(), Online, "hello")
			c.Assert(apierr.IsKind(err, apierr.UpstreamError), qt.IsTrue, qt.Commentf("%v", err))
			time.Sleep(time.Minute)
		}
		f.breakAttempts = false
		text, err := h.run(context.Background(), Online, "hello")
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "hello")
		c.Assert(f.objects, qt.HasLen, 0)
	})
}

func TestTrialLocksAreFleetWide(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	hosts := newHosts(f, 2, "e1", "e2")
	ctx := context.Background()
	a, b := Fingerprint{1}, Fingerprint{2}
	release, err := hosts[0].suspects.AcquireTrial(ctx, a, idOf("e1"))
	c.Assert(err, qt.IsNil)
	_, err = hosts[1].suspects.AcquireTrial(ctx, a, idOf("e2"))
	c.Assert(err, qt.IsNotNil) // the same suspect
	_, err = hosts[1].suspects.AcquireTrial(ctx, b, idOf("e1"))
	c.Assert(err, qt.IsNotNil) // the same upstream
	release()
	release, err = hosts[1].suspects.AcquireTrial(ctx, b, idOf("e1"))
	c.Assert(err, qt.IsNil)
	release()
	c.Assert(f.objects, qt.HasLen, 0)
}

func TestFingerprintsDifferByTeamAndKey(t *testing.T) {
	c := qt.New(t)
	a, b := Request{Team: "a"}, Request{Team: "b"}
	k, l := FingerprintKey("k"), FingerprintKey("l")
	c.Assert(FingerprintOf(k, a), qt.Equals, FingerprintOf(k, a))
	c.Assert(FingerprintOf(k, a), qt.Not(qt.Equals), FingerprintOf(k, b))
	c.Assert(FingerprintOf(k, a), qt.Not(qt.Equals), FingerprintOf(l, a))
}
