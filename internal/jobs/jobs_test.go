package jobs_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/jobs"
	"github.com/masticscale/masticscale/internal/objstore"
)

// play runs a test in virtual time.
func play(t *testing.T, run func(c *qt.C, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(c)
		defer w.end()
		run(c, w)
	})
}

var background = context.Background()

func TestJobIsDoneAndReadThroughAnyHost(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1, h2 := w.start("h1"), w.start("h2")
		time.Sleep(time.Second)
		s := submission("j", 10)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		c.Assert(h2.runner.Submit(background, s), qt.IsNil) // a resend
		time.Sleep(10 * time.Second)
		w.checkWhole(h1, s)
		w.checkWhole(h2, s)
		for _, i := range s.Items {
			c.Assert(w.engine.runsOf(i.ID), qt.Equals, 1)
		}
		body, err := h2.runner.ItemBody(background, "j", "cafe", s.Items[3].ID)
		c.Assert(err, qt.IsNil)
		c.Assert(string(body), qt.Equals, "prompt")
		_, err = h2.runner.Read(background, "j", "kiosk", 0, 0)
		c.Assert(apierr.IsKind(err, apierr.NotFound), qt.IsTrue)
	})
}

// TestReadingADoneJobCostsLittle reads a job through a host that has just
// started, as callers do after all hosts were lost. It failed with a call at full
// price for each part of the results.
func TestReadingADoneJobCostsLittle(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1, h2 := w.start("h1"), w.start("h2")
		time.Sleep(time.Second)
		s := submission("j", 30)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(15 * time.Second)
		h1.kill()
		h2.kill()
		h1, h2 = w.start("h1"), w.start("h2")
		time.Sleep(3 * time.Second)
		before := w.store.Calls()
		w.checkWhole(h1, s)
		w.checkWhole(h2, s)
		c.Assert(w.store.Calls()-before, qt.Equals, 0)
	})
}

// TestDoneJobIsNotedInOneCall counts the calls of a job from its submission to
// its end.
func TestDoneJobIsNotedInOneCall(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1 := w.start("h1")
		time.Sleep(time.Second)
		before := w.store.Calls()
		c.Assert(h1.runner.Submit(background, submission("j", 1)), qt.IsNil)
		time.Sleep(5 * time.Second)
		c.Assert(w.store.Calls()-before, qt.Equals, 3) // the job, its result, its end
	})
}

// TestStaleReadsHideNothing reads what was written within the time that stale
// reads are behind.
func TestStaleReadsHideNothing(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		w.store.SetLag(5 * time.Second)
		h1, h2 := w.start("h1"), w.start("h2")
		time.Sleep(time.Second)
		s := submission("j", 10)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(2 * time.Second)
		h1.kill()
		w.checkWhole(h2, s)
		h3 := w.start("h3")
		h3.setCut(true)
		c.Assert(h3.runner.Cancel(background, "j", "cafe"), qt.IsNil)
		rec, err := h2.store.Get(background, jobs.KindState, "j")
		c.Assert(err, qt.IsNil)
		c.Assert(string(rec.Value), qt.Contains, `"ended":true`)
		c.Assert(string(rec.Value), qt.Contains, `"done":true`)
	})
}

// TestJobsAreRemoved checks that a job stays readable for its time, and that
// nothing of it stays in the store afterwards.
func TestJobsAreRemoved(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1, h2 := w.start("h1"), w.start("h2")
		time.Sleep(time.Second)
		s := submission("j", 5)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(590 * time.Second)
		w.checkWhole(h2, s)
		time.Sleep(200 * time.Second)
		for _, h := range []*host{h1, h2} {
			_, err := h.runner.Read(background, "j", "cafe", 0, 0)
			c.Assert(apierr.IsKind(err, apierr.NotFound), qt.IsTrue)
		}
		for _, kind := range []objstore.Kind{jobs.KindJob, jobs.KindState, jobs.KindResults} {
			left, _, err := h1.store.List(background, kind, "")
			c.Assert(err, qt.IsNil)
			c.Assert(left, qt.HasLen, 0)
		}
	})
}

func TestOtherJobUnderTheSameID(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1, h2 := w.start("h1"), w.start("h2")
		c.Assert(h1.runner.Submit(background, submission("j", 2)), qt.IsNil)
		for _, h := range []*host{h1, h2} {
			c.Assert(apierr.IsKind(h.runner.Submit(background, submission("j", 3)), apierr.Invalid), qt.IsTrue)
			other := submission("j", 2)
			other.Key = otherKey
			c.Assert(apierr.IsKind(h.runner.Submit(background, other), apierr.Invalid), qt.IsTrue)
		}
	})
}

// TestKilledHostGoesOnAfterItsRestart and the next tests take the host of a job
// away half way.
func TestKilledHostGoesOnAfterItsRestart(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1, h2 := w.start("h1"), w.start("h2")
		s := submission("j", 30)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		h1.kill()
		time.Sleep(time.Second)
		h1 = w.start("h1")
		time.Sleep(8 * time.Second)
		w.checkWhole(h1, s)
		w.checkWhole(h2, s)
	})
}

// TestRestartedHostLearnsItsConfigurationLate failed in the soak (seed 2): the
// jobs of a host that knew no configuration yet were never run again.
func TestRestartedHostLearnsItsConfigurationLate(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1 := w.start("h1")
		s := submission("j", 30)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(time.Second)
		h1.kill()
		w.configAfter = 3 * time.Second
		h1 = w.start("h1")
		time.Sleep(12 * time.Second)
		w.checkWhole(h1, s)
	})
}

func TestJobOfALostHostIsTakenOver(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1, h2, h3 := w.start("h1"), w.start("h2"), w.start("h3")
		time.Sleep(time.Second)
		s := submission("j", 30)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		h1.kill()
		time.Sleep(14 * time.Second)
		w.checkWhole(h2, s)
		w.checkWhole(h3, s)
	})
}

// TestCutOffHostIsFenced cuts the host of a job off until another host has taken
// the job over; the store is in reach again before the peers are. It failed with
// both writing results, so that the new host's memory lacked some.
func TestCutOffHostIsFenced(t *testing.T) {
	for back := 27; back <= 36; back++ { // quarters of a second until the store is in reach
		t.Run(fmt.Sprint(back), func(t *testing.T) {
			play(t, func(c *qt.C, w *world) { cutOff(c, w, back) })
		})
	}
}

func cutOff(c *qt.C, w *world, back int) {
	h1, h2, h3 := w.start("h1"), w.start("h2"), w.start("h3")
	time.Sleep(time.Second)
	s := submission("j", 90)
	c.Assert(h1.runner.Submit(background, s), qt.IsNil)
	time.Sleep(500 * time.Millisecond)
	h1.setCut(true)
	h1.store.SetDown(true)
	last := 0
	for n := range 120 {
		time.Sleep(250 * time.Millisecond)
		h1.store.SetDown(n < back)
		for _, h := range []*host{h2, h3} {
			_, results, err := h.read("j")
			c.Assert(err, qt.IsNil)
			c.Assert(len(results) >= last, qt.IsTrue, qt.Commentf("%s shows %d results after %d were read", h.name, len(results), last))
			last = len(results)
		}
	}
	h1.setCut(false)
	time.Sleep(3 * time.Second)
	for _, h := range []*host{h1, h2, h3} {
		w.checkWhole(h, s)
	}
}

// TestEndAtACutOffHost ends a job at the host that runs it while that host is cut
// off, and another takes the job over. After the cut the first host answered for
// the job from its memory, and hid results that had been read.
func TestEndAtACutOffHost(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1 := w.start("h1")
		var others []*host
		for _, name := range []string{"h2", "h3", "h4"} {
			others = append(others, w.start(name))
		}
		time.Sleep(time.Second)
		c.Assert(h1.runner.Submit(background, submission("j", 60)), qt.IsNil)
		h1.setCut(true)
		h1.store.SetDown(true)
		time.Sleep(500 * time.Millisecond)
		c.Assert(h1.runner.Cancel(background, "j", "cafe"), qt.Not(qt.IsNil))
		time.Sleep(10 * time.Second)
		_, before, err := others[0].read("j")
		c.Assert(err, qt.IsNil)
		c.Assert(len(before) > 0, qt.IsTrue)
		h1.setCut(false)
		h1.store.SetDown(false)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range append(others, h1) {
				_, results, err := h.read("j")
				c.Assert(err, qt.IsNil)
				c.Assert(len(results) >= len(before), qt.IsTrue, qt.Commentf("%s shows %d results after %d were read", h.name, len(results), len(before)))
			}
		}
	})
}

// TestEndIsNotedOnceTheStoreIsBack ends a job while the store is away: its items
// stop at once, and the end is noted later although nobody asks again.
func TestEndIsNotedOnceTheStoreIsBack(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1 := w.start("h1")
		time.Sleep(time.Second)
		s := submission("j", 60)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		h1.store.SetDown(true)
		c.Assert(h1.runner.Cancel(background, "j", "cafe"), qt.Not(qt.IsNil))
		ended := time.Now()
		time.Sleep(3 * time.Second)
		h1.store.SetDown(false)
		time.Sleep(3 * time.Second)
		for _, i := range s.Items {
			c.Assert(w.engine.lastRun(i.ID).After(ended), qt.IsFalse)
		}
		o, err := h1.store.Get(background, jobs.KindState, "j")
		c.Assert(err, qt.IsNil)
		c.Assert(string(o.Value), qt.Contains, `"ended":true`)
	})
}

// TestFrozenHostWakesWhileTheStoreIsAway failed in the soak (seed 1049): the one
// look at who runs the jobs failed, and the host never looked again.
func TestFrozenHostWakesWhileTheStoreIsAway(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1 := w.start("h1")
		time.Sleep(time.Second)
		s := submission("j", 20)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		h1.store.SetDown(true)
		h1.runner.SimulateSuspension()
		time.Sleep(2 * time.Second)
		h1.store.SetDown(false)
		time.Sleep(10 * time.Second)
		w.checkWhole(h1, s)
	})
}

func TestStoppingHostHandsItsJobsOver(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1, h2 := w.start("h1"), w.start("h2")
		time.Sleep(time.Second)
		s := submission("j", 30)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		h1.core.SetLeaving()
		h1.runner.Stop(background)
		time.Sleep(time.Second)
		h1.kill()
		time.Sleep(6 * time.Second)
		w.checkWhole(h2, s)
	})
}

// TestEndReachesTheHostThatRunsTheJob ends a job through another host, also
// while the job is being handed over. It failed with an item that ran 3.2 s
// after the end.
func TestEndReachesTheHostThatRunsTheJob(t *testing.T) {
	for name, before := range map[string]func(w *world, h1 *host){
		"calm":    func(*world, *host) {},
		"handing": func(_ *world, h1 *host) { h1.core.SetLeaving(); go h1.runner.Stop(background) },
		"owner cut off": func(_ *world, h1 *host) {
			h1.setCut(true)
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(c *qt.C, w *world) {
				h1, h2, _ := w.start("h1"), w.start("h2"), w.start("h3")
				time.Sleep(time.Second)
				s := submission("j", 90)
				c.Assert(h1.runner.Submit(background, s), qt.IsNil)
				time.Sleep(500 * time.Millisecond)
				before(w, h1)
				c.Assert(h2.runner.Cancel(background, "j", "cafe"), qt.IsNil)
				ended := time.Now()
				time.Sleep(20 * time.Second)
				for _, i := range s.Items {
					late := w.engine.lastRun(i.ID).Sub(ended)
					c.Assert(late < 3*time.Second, qt.IsTrue, qt.Commentf("item %s ran %v after the end", i.ID, late))
				}
				c.Assert(h2.runner.Cancel(background, "j", "cafe"), qt.IsNil) // again
			})
		})
	}
}

// TestEndAtAHostThatResumesTheJob ends a job through its own host, at each moment
// of the host's restart. In a hunt an item ran 7.9 s after such an end: the host
// had read the job's state before the end and took the job up after it.
func TestEndAtAHostThatResumesTheJob(t *testing.T) {
	const step, until = 40 * time.Millisecond, 800 * time.Millisecond
	for after := time.Duration(0); after < until; after += step {
		play(t, func(c *qt.C, w *world) {
			h1 := w.start("h1")
			time.Sleep(time.Second)
			s := submission("j", 90)
			c.Assert(h1.runner.Submit(background, s), qt.IsNil)
			time.Sleep(500 * time.Millisecond)
			h1.kill()
			h1 = w.start("h1")
			h1.store.SetLatency(80 * time.Millisecond)
			time.Sleep(after)
			c.Assert(h1.runner.Cancel(background, "j", "cafe"), qt.IsNil)
			ended := time.Now()
			time.Sleep(10 * time.Second)
			for _, i := range s.Items {
				late := w.engine.lastRun(i.ID).Sub(ended)
				c.Assert(late < 3*time.Second, qt.IsTrue, qt.Commentf("item %s ran %v after an end %v after the start", i.ID, late, after))
			}
		})
	}
}

func TestStoreDown(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1 := w.start("h1")
		time.Sleep(time.Second)
		s := submission("j", 10)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		h1.store.SetDown(true)
		err := h1.runner.Submit(background, submission("k", 1))
		c.Assert(apierr.From(err).Execution, qt.Equals, apierr.NotRun)
		time.Sleep(5 * time.Second)
		_, results, err := h1.read("j")
		c.Assert(err, qt.IsNil)
		c.Assert(results, qt.HasLen, 0) // done, and not written yet
		h1.store.SetDown(false)
		time.Sleep(3 * time.Second)
		w.checkWhole(h1, s)
	})
}

// TestLostAnswerOfAcceptance checks that a job which may have been stored is not
// said to be refused, and runs once it is handed in again.
func TestLostAnswerOfAcceptance(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1, h2 := w.start("h1"), w.start("h2")
		time.Sleep(time.Second)
		s := submission("j", 5)
		h1.store.LoseAnswers(1)
		err := h1.runner.Submit(background, s)
		c.Assert(apierr.From(err).Execution, qt.Equals, apierr.MayHaveRun)
		c.Assert(h2.runner.Submit(background, s), qt.IsNil)
		time.Sleep(5 * time.Second)
		w.checkWhole(h1, s)
		w.checkWhole(h2, s)
	})
}

// TestAcceptedThroughAHostThatCanNotTellTheFirst failed in the soak (seed 6): the
// first host never learned that it had stored the job, the second answered that
// it was accepted and could not reach the first, and no host ran it.
func TestAcceptedThroughAHostThatCanNotTellTheFirst(t *testing.T) {
	for name, heals := range map[string]bool{"cut heals": true, "peer calls fail": false} {
		t.Run(name, func(t *testing.T) {
			play(t, func(c *qt.C, w *world) {
				h1, h2 := w.start("h1"), w.start("h2")
				w.start("h3")
				time.Sleep(time.Second)
				s := submission("j", 5)
				h1.store.LoseAnswers(1)
				c.Assert(h1.runner.Submit(background, s), qt.IsNotNil)
				h1.setCut(true)
				c.Assert(h2.runner.Submit(background, s), qt.IsNil)
				time.Sleep(100 * time.Millisecond)
				h1.setCut(!heals)
				time.Sleep(35 * time.Second)
				w.checkWhole(h2, s)
			})
		})
	}
}

func TestBrokenOffStreamGoesOn(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1 := w.start("h1")
		s := submission("j", 3)
		w.engine.cut[s.Items[1].ID] = 7
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(5 * time.Second)
		w.checkWhole(h1, s)
		c.Assert(w.engine.runsOf(s.Items[1].ID), qt.Equals, 2)
	})
}

// TestItemsThatCanNeverBeDone checks how often they run, and that they don't
// hold the others up.
func TestItemsThatCanNeverBeDone(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1 := w.start("h1")
		s := submission("j", 4)
		w.engine.fail[s.Items[0].ID] = http.StatusUnprocessableEntity
		w.engine.fail[s.Items[1].ID] = http.StatusInternalServerError
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(6 * time.Second)
		_, results, err := h1.read("j")
		c.Assert(err, qt.IsNil)
		c.Assert(results, qt.HasLen, 4)
		for _, r := range results {
			c.Assert(r.Failed, qt.Equals, r.ID == s.Items[0].ID || r.ID == s.Items[1].ID)
		}
		c.Assert(w.engine.runsOf(s.Items[0].ID), qt.Equals, 1)
		c.Assert(w.engine.runsOf(s.Items[1].ID), qt.Equals, 3)
	})
}

// TestBacklogIsBoundedOnAllHosts hands in more than a team may have waiting,
// through two hosts.
func TestBacklogIsBoundedOnAllHosts(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1, h2 := w.start("h1"), w.start("h2")
		time.Sleep(time.Second)
		c.Assert(h1.runner.Submit(background, submission("j", 60)), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
		err := h2.runner.Submit(background, submission("k", 60))
		c.Assert(apierr.IsKind(err, apierr.RateLimited), qt.IsTrue)
		time.Sleep(20 * time.Second)
		c.Assert(h2.runner.Submit(background, submission("k", 60)), qt.IsNil)
	})
}

func TestItemsOfARemovedRouteAreGivenUp(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		h1 := w.start("h1")
		s := submission("j", 40)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(500 * time.Millisecond)
		next := config(2)
		next.Routes = []fleet.Route{}
		h1.core.SetConfig(next)
		time.Sleep(5 * time.Second)
		_, results, err := h1.read("j")
		c.Assert(err, qt.IsNil)
		c.Assert(results, qt.HasLen, 40)
	})
}

// TestJobIsTakenOverTwice loses the host of a job, and then the one that took it
// over, while stale reads still name the first.
func TestJobIsTakenOverTwice(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		w.store.SetLag(time.Minute)
		h1 := w.start("h1")
		for _, name := range []string{"h2", "h3", "h4", "h5"} { // a host takes over while it hears most others
			w.start(name)
		}
		time.Sleep(time.Second)
		c.Assert(h1.runner.Submit(background, submission("j", 90)), qt.IsNil)
		h1.kill()
		time.Sleep(10 * time.Second)
		second := w.ownerOf(h1, "j")
		c.Assert(second, qt.Not(qt.Equals), "h1")
		w.hosts[second].kill()
		time.Sleep(10 * time.Second)
		c.Assert([]string{"h1", second}, qt.Not(qt.Contains), w.ownerOf(h1, "j"))
	})
}
