package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/membership"
)

func goodIDs(n int) []string {
	kinds := make([]string, n)
	for i := range kinds {
		kinds[i] = "good"
	}
	return idsOf(kinds)
}

// waitEnded waits, in virtual time, until the job has ended.
func waitEnded(c *qt.C, s *Service, id string) job.Job {
	for range 3600 {
		time.Sleep(time.Second)
		j, err := s.Job(context.Background(), "t", id)
		if err == nil && j.State.Terminal() {
			return j
		}
	}
	c.Fatalf("job %s has not ended", id)
	return job.Job{}
}

// TestPausedHolderDispatchesNothing takes a chunk over from a host that hears
// nothing, cancels the job, and lets the host come back.
func TestPausedHolderDispatchesNothing(t *testing.T) {
	for _, returns := range []bool{false, true} {
		t.Run(fmt.Sprintf("returns=%v", returns), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store, members, e := newMemoryStore(), newFleet("h1", "h2"), newEngine(time.Second)
				e.queue = 700 * time.Millisecond
				s := NewService(NewRepository(store))
				s.partLines = 1000
				j, err := submit(s, goodIDs(1000))
				c.Assert(err, qt.IsNil)
				h1 := startHost(store, members, "h1", e)
				defer h1.kill()
				time.Sleep(1500 * time.Millisecond)
				members.silence("h1")
				h1.view.stale.Store(true)
				h2 := startHost(store, members, "h2", e)
				defer h2.kill()
				time.Sleep(membership.LapseTime + 4*time.Second)
				_, err = s.Cancel(context.Background(), "t", j.ID)
				c.Assert(err, qt.IsNil)
				c.Assert(waitEnded(c, s, j.ID).State, qt.Equals, job.Cancelled)
				dispatched := e.total()
				if returns {
					members.renew("h1")
				}
				time.Sleep(time.Minute)
				c.Assert(e.total(), qt.Equals, dispatched)
			})
		})
	}
}

// TestCancelWaitsForLiveOwner has an owner that does not hear of the cancel: the
// job must not be reported as cancelled while that host can dispatch.
func TestCancelWaitsForLiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, members, e := newMemoryStore(), newFleet("h1"), newEngine(time.Second)
		s := NewService(NewRepository(store))
		j, err := submit(s, goodIDs(256))
		c.Assert(err, qt.IsNil)
		h1 := startHost(store, members, "h1", e)
		defer h1.kill()
		time.Sleep(1500 * time.Millisecond)
		h1.view.stale.Store(true)
		asked, err := s.Cancel(context.Background(), "t", j.ID)
		c.Assert(err, qt.IsNil)
		c.Assert(asked.State, qt.Equals, job.Cancelling)
		ended := waitEnded(c, s, j.ID)
		dispatched := e.total()
		time.Sleep(time.Minute)
		c.Assert(e.total(), qt.Equals, dispatched)
		c.Assert(ended.Counts, qt.Equals, job.Counts{Total: 256, Completed: 256})
	})
}

// TestLateClaimSeesCancel lets a host that does not hear of a cancel claim a
// chunk after the job was reported as cancelled.
func TestLateClaimSeesCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, members, e := newMemoryStore(), newFleet("h1"), newEngine(time.Minute)
		s := NewService(NewRepository(store))
		s.partLines = 1
		_, err := submit(s, goodIDs(chunksAtOnce))
		c.Assert(err, qt.IsNil)
		h1 := startHost(store, members, "h1", e)
		defer h1.kill()
		time.Sleep(time.Second)
		c.Assert(e.total(), qt.Equals, chunksAtOnce)
		f, err := s.Upload(context.Background(), Upload{Team: "t"}, inputReader("late-1", "late-2"))
		c.Assert(err, qt.IsNil)
		second, err := s.Submit(context.Background(), Submission{Team: "t", File: f.ID, Endpoint: endpoints[0]})
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		h1.view.stale.Store(true)
		ended, err := s.Cancel(context.Background(), "t", second.ID)
		c.Assert(err, qt.IsNil)
		c.Assert(ended.State, qt.Equals, job.Cancelled)
		c.Assert(ended.Counts, qt.Equals, job.Counts{Total: 2, Cancelled: 2})
		time.Sleep(5 * time.Minute)
		c.Assert(e.runs["late-1"]+e.runs["late-2"], qt.Equals, 0)
	})
}

// TestOutageKeepsResults takes the platform away while a chunk runs: what was
// run is committed on return and not run again.
func TestOutageKeepsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, members, e := newMemoryStore(), newFleet("h1"), newEngine(time.Second)
		s := NewService(NewRepository(store))
		j, err := submit(s, goodIDs(600))
		c.Assert(err, qt.IsNil)
		h1 := startHost(store, members, "h1", e)
		defer h1.kill()
		time.Sleep(1500 * time.Millisecond)
		store.set(func() { store.down = true })
		members.silence("h1")
		time.Sleep(3 * time.Minute)
		_, err = submit(s, goodIDs(1))
		c.Assert(err, qt.ErrorMatches, ".*nothing was accepted.*")
		store.set(func() { store.down = false })
		members.renew("h1")
		c.Assert(waitEnded(c, s, j.ID).Counts, qt.Equals, job.Counts{Total: 600, Completed: 600})
		c.Assert(e.total(), qt.Equals, 600)
	})
}

// killer is an Executor with one item whose host does not survive it.
type killer struct {
	*engine
	mu    sync.Mutex
	kills int
	die   func()
}

func (k *killer) Execute(ctx context.Context, t Task) (job.ResultLine, error) {
	if kindOf(t.Item.CustomID) == "killer" {
		k.mu.Lock()
		k.kills++
		k.mu.Unlock()
		k.die()
		<-ctx.Done()
		return job.ResultLine{}, ctx.Err()
	}
	return k.engine.Execute(ctx, t)
}

// TestItemThatKillsHosts has an item that no host survives: the chunk ends, with
// that item's own error, after a bounded number of hosts.
func TestItemThatKillsHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, members := newMemoryStore(), newFleet("h1")
		dead := make(chan struct{}, 100)
		e := &killer{engine: newEngine(10 * time.Millisecond), die: func() { dead <- struct{}{} }}
		s := NewService(NewRepository(store))
		ids := goodIDs(40)
		ids[20] = "killer-20"
		j, err := submit(s, ids)
		c.Assert(err, qt.IsNil)
		h := startHost(store, members, "h1", e)
		for ended := false; !ended; {
			select {
			case <-dead:
				h.kill()
				members.restart("h1")
				h = startHost(store, members, "h1", e)
			case <-time.After(time.Minute):
				ended = true
			}
		}
		defer h.kill()
		c.Assert(waitEnded(c, s, j.ID).Counts, qt.Equals, job.Counts{Total: 40, Completed: 39, Failed: 1})
		c.Assert(e.kills <= job.TrialAfterClaims+2, qt.IsTrue, qt.Commentf("%d hosts died", e.kills))
		bad, err := readLines(s, ErrorFile(j.ID))
		c.Assert(err, qt.IsNil)
		c.Assert(bad[0].CustomID, qt.Equals, "killer-20")
		c.Assert(bad[0].Error.Code, qt.Equals, job.CodeQuarantined)
	})
}

// slowFeed is a membership whose first look takes long, as in a process that is
// paused between two instructions.
type slowFeed struct {
	feed
	pause time.Duration
}

func (f *slowFeed) HoldsLease() bool {
	time.Sleep(f.pause)
	return true
}

func TestTenureCountsGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		members := &slowFeed{feed: feed{newFleet("h1"), "h1"}}
		leaseTerm := &leaseTerm{feed: members}
		look := func() int64 {
			term, held := leaseTerm.check()
			c.Assert(held, qt.IsTrue)
			return term
		}
		first := look()
		time.Sleep(scanInterval)
		c.Assert(look(), qt.Equals, first)
		members.pause = membership.LapseTime
		second := look()
		c.Assert(second, qt.Not(qt.Equals), first)
		members.pause = 0
		time.Sleep(continuity + time.Millisecond)
		c.Assert(look(), qt.Not(qt.Equals), second)
		members.fleet.restart("h1")
		third := look()
		c.Assert(look(), qt.Equals, third)
	})
}

// TestWritesPerItem counts the platform's calls for a large job.
func TestWritesPerItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, members, e := newMemoryStore(), newFleet("h1", "h2", "h3"), newEngine(0)
		s := NewService(NewRepository(store))
		const chunks = 40
		j, err := submit(s, goodIDs(chunks*job.MaxPartLines))
		c.Assert(err, qt.IsNil)
		before, reads := store.version, store.reads
		for _, name := range []string{"h1", "h2", "h3"} {
			defer startHost(store, members, name, e).kill()
		}
		c.Assert(waitEnded(c, s, j.ID).Counts.Completed, qt.Equals, chunks*job.MaxPartLines)
		synctest.Wait() // the job is archived after it is seen to have ended
		t.Logf("%d writes and %d reads for %d chunks", store.version-before, store.reads-reads, chunks)
		// Claim, segment and commit for each chunk, and the end of the job with its archiving.
		c.Assert(store.version-before, qt.Equals, int64(3*chunks+3))
	})
}
