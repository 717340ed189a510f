package membership

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/emulator/memstore"
	"github.com/masticscale/masticscale/internal/objstore"
)

const latency = 5 * time.Millisecond

// member is a running registry with its own store client.
type member struct {
	*Registry
	client *memstore.Client
	stop   func()
}

func join(store *memstore.Store, name, address string) *member {
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := store.Client(latency)
	r := NewRegistry(client, Host{Name: name, PeerAddress: address}, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	return &member{Registry: r, client: client, stop: func() { cancel(); <-done }}
}

func (m *member) owner() Owner {
	self := m.Self()
	return Owner{Host: self.Name, Epoch: self.Epoch}
}

func (m *member) confirm(owner Owner) Lapse {
	lapse, err := m.Confirm(context.Background(), owner)
	if err != nil {
		return Lapse{}
	}
	return lapse
}

// inBubble runs a test in a synctest bubble, with a fake clock.
func inBubble(t *testing.T, test func(c *quicktest.C, store *memstore.Store)) {
	bubbletest.Run(t, func(t *testing.T) { test(quicktest.New(t), memstore.New()) })
}

func TestLapsedLeaseIsNotTrustedAgainUnderSameEpoch(t *testing.T) {
	inBubble(t, func(c *quicktest.C, store *memstore.Store) {
		a := join(store, "a", "a:1")
		defer a.stop()
		b := join(store, "b", "b:1")
		defer b.stop()
		time.Sleep(time.Second)
		first := a.owner()
		a.client.SetPartitioned(true)
		time.Sleep(LeaseTime + time.Second)
		c.Assert(a.HoldsLease(), quicktest.IsFalse)
		c.Assert(b.confirm(first).Lapsed, quicktest.IsFalse)
		time.Sleep(LapseTime - LeaseTime + RenewInterval)
		c.Assert(b.confirm(first).Lapsed, quicktest.IsTrue)
		a.client.SetPartitioned(false)
		time.Sleep(2 * RenewInterval)
		c.Assert(a.HoldsLease(), quicktest.IsTrue)
		c.Assert(a.Self().Epoch > first.Epoch, quicktest.IsTrue)
		time.Sleep(LapseTime)
		c.Assert(b.confirm(first).Lapsed, quicktest.IsTrue, quicktest.Commentf("a confirmed lapse must stay confirmed"))
		c.Assert(a.Lapsed(first), quicktest.IsTrue)
	})
}

func TestStaleWatchDoesNotConfirmLapse(t *testing.T) {
	inBubble(t, func(c *quicktest.C, store *memstore.Store) {
		a := join(store, "a", "a:1")
		defer a.stop()
		b := join(store, "b", "b:1")
		defer b.stop()
		time.Sleep(time.Second)
		b.client.SetStaleWatch(true)
		time.Sleep(2 * LapseTime)
		c.Assert(b.Lapsed(a.owner()), quicktest.IsTrue, quicktest.Commentf("a stale watch shows no renewals"))
		c.Assert(b.confirm(a.owner()).Lapsed, quicktest.IsFalse)
		c.Assert(a.HoldsLease(), quicktest.IsTrue)
	})
}

func TestLostResponsesDoNotEndLease(t *testing.T) {
	inBubble(t, func(c *quicktest.C, store *memstore.Store) {
		a := join(store, "a", "a:1")
		defer a.stop()
		time.Sleep(time.Second)
		first := a.owner()
		a.client.LoseWriteResponses(1)
		for range 20 {
			time.Sleep(RenewInterval)
			c.Assert(a.HoldsLease(), quicktest.IsTrue)
		}
		c.Assert(a.owner(), quicktest.Equals, first)
	})
}

func TestSuccessorDoesNotProvePredecessorStopped(t *testing.T) {
	inBubble(t, func(c *quicktest.C, store *memstore.Store) {
		predecessor := join(store, "a", "a:1")
		defer predecessor.stop()
		b := join(store, "b", "b:1")
		defer b.stop()
		time.Sleep(time.Second)
		first := predecessor.owner()
		predecessor.client.SetPartitioned(true) // still running, and trusts its lease until the deadline
		successor := join(store, "a", "elsewhere:1")
		defer successor.stop()
		time.Sleep(time.Second)
		c.Assert(predecessor.HoldsLease() && successor.HoldsLease(), quicktest.IsTrue)
		for _, observer := range []*member{b, successor} {
			c.Assert(observer.Lapsed(first), quicktest.IsFalse)
			c.Assert(observer.confirm(first).Lapsed, quicktest.IsFalse)
		}
		time.Sleep(LapseTime + time.Second)
		c.Assert(predecessor.HoldsLease(), quicktest.IsFalse)
		for _, observer := range []*member{b, successor} {
			c.Assert(observer.confirm(first).Lapsed, quicktest.IsTrue)
		}
	})
}

func TestTwoProcessesWithOneNameDoNotAlternate(t *testing.T) {
	inBubble(t, func(c *quicktest.C, store *memstore.Store) {
		predecessor := join(store, "a", "a:1")
		defer predecessor.stop()
		time.Sleep(time.Second)
		successor := join(store, "a", "elsewhere:1")
		defer successor.stop()
		time.Sleep(3 * RenewInterval)
		epoch := successor.Self().Epoch
		for range 30 {
			time.Sleep(RenewInterval)
			c.Assert(predecessor.HoldsLease(), quicktest.IsFalse)
			c.Assert(successor.HoldsLease(), quicktest.IsTrue)
		}
		c.Assert(successor.Self().Epoch, quicktest.Equals, epoch)
	})
}

func TestLeaveAndResignOverrideConcurrentRenewals(t *testing.T) {
	inBubble(t, func(c *quicktest.C, store *memstore.Store) {
		a := join(store, "a", "a:1")
		defer a.stop()
		b := join(store, "b", "b:1")
		defer b.stop()
		// Leave at the instant of a renewal.
		time.Sleep(3 * RenewInterval)
		first := a.owner()
		a.Leave(context.Background())
		time.Sleep(time.Second)
		c.Assert(a.HoldsLease(), quicktest.IsTrue)
		c.Assert(a.owner(), quicktest.Equals, first)
		a.Resign(context.Background())
		time.Sleep(10 * RenewInterval)
		c.Assert(a.HoldsLease(), quicktest.IsFalse)
		c.Assert(b.confirm(first).Resigned, quicktest.IsTrue)
		c.Assert(b.Members(), quicktest.HasLen, 1)
	})
}

func TestRenewalAfterDeadlineDoesNotExtendLease(t *testing.T) {
	inBubble(t, func(c *quicktest.C, store *memstore.Store) {
		a := join(store, "a", "a:1")
		defer a.stop()
		time.Sleep(time.Second)
		first := a.owner()
		// Sets the deadline before the next renewal returns, as if the process had
		// been paused past it.
		a.mu.Lock()
		a.deadline = time.Now().Add(latency / 2)
		a.mu.Unlock()
		time.Sleep(2 * RenewInterval)
		c.Assert(a.HoldsLease(), quicktest.IsTrue)
		c.Assert(a.Self().Epoch > first.Epoch, quicktest.IsTrue)
	})
}

func TestDeletedLeaseObjectIsNotLapsedBeforeItsDeadline(t *testing.T) {
	inBubble(t, func(c *quicktest.C, store *memstore.Store) {
		a := join(store, "a", "a:1")
		defer a.stop()
		b := join(store, "b", "b:1")
		defer b.stop()
		time.Sleep(LapseTime + RenewInterval)
		first := a.owner()
		a.client.SetPartitioned(true) // before the delete, since a renewal is due at this instant
		o, err := b.client.Get(context.Background(), objstore.KindHost, "a")
		c.Assert(err, quicktest.IsNil)
		c.Assert(b.client.Delete(context.Background(), objstore.KindHost, "a", o.Version), quicktest.IsNil)
		time.Sleep(time.Second)
		c.Assert(a.HoldsLease(), quicktest.IsTrue)
		c.Assert(b.Lapsed(first), quicktest.IsFalse)
		a.client.SetPartitioned(false)
		time.Sleep(LapseTime)
		c.Assert(a.Self().Epoch > first.Epoch, quicktest.IsTrue, quicktest.Commentf("epochs must not decrease"))
	})
}
