package jobs_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestKilledHostResumesItsJobAfterARestart and the next tests kill the owner of a
// job halfway through the job.
func TestKilledHostResumesItsJobAfterARestart(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		h1, h2 := w.start("h1"), w.start("h2")
		s := submission("j", 30)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		h1.kill()
		time.Sleep(time.Second)
		h1 = w.start("h1")
		time.Sleep(8 * time.Second)
		w.checkResults(h1, s)
		w.checkResults(h2, s)
	})
}

// TestRestartedHostReceivesItsConfigurationLate guards against jobs that never
// run again if their host has no configuration yet when it resumes them (soak
// test, seed 2).
func TestRestartedHostReceivesItsConfigurationLate(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		h1 := w.start("h1")
		s := submission("j", 30)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(time.Second)
		h1.kill()
		w.configDelay = 3 * time.Second
		h1 = w.start("h1")
		time.Sleep(12 * time.Second)
		w.checkResults(h1, s)
	})
}

func TestJobOfAKilledHostIsTakenOver(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		h1, h2, h3 := w.start("h1"), w.start("h2"), w.start("h3")
		time.Sleep(time.Second)
		s := submission("j", 30)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		h1.kill()
		time.Sleep(14 * time.Second)
		w.checkResults(h2, s)
		w.checkResults(h3, s)
	})
}

// TestPartitionedHostIsFenced partitions the owner of a job until another host
// has taken over the job; the old owner reaches the store again before it reaches
// its peers. Both hosts used to write results, so that the new owner's memory
// lacked some.
func TestPartitionedHostIsFenced(t *testing.T) {
	for outage := 27; outage <= 36; outage++ { // quarters of a second until the store is reachable again
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			runCluster(t, func(c *qt.C, w *cluster) { testFencing(c, w, outage) })
		})
	}
}

func testFencing(c *qt.C, w *cluster, outage int) {
	h1, h2, h3 := w.start("h1"), w.start("h2"), w.start("h3")
	time.Sleep(time.Second)
	s := submission("j", 90)
	c.Assert(h1.runner.Submit(background, s), qt.IsNil)
	time.Sleep(500 * time.Millisecond)
	h1.setPartitioned(true)
	h1.store.SetPartitioned(true)
	last := 0
	for n := range 120 {
		time.Sleep(250 * time.Millisecond)
		h1.store.SetPartitioned(n < outage)
		for _, h := range []*host{h2, h3} {
			_, results, err := h.read("j")
			c.Assert(err, qt.IsNil)
			c.Assert(len(results) >= last, qt.IsTrue, qt.Commentf("%s shows %d results after %d were read", h.name, len(results), last))
			last = len(results)
		}
	}
	h1.setPartitioned(false)
	time.Sleep(3 * time.Second)
	for _, h := range []*host{h1, h2, h3} {
		w.checkResults(h, s)
	}
}

// TestSuspendedHostResumesDuringAStoreOutage guards against a host that verifies
// the ownership of its jobs only once after a suspension, and never again if the
// store is unavailable at that time (soak test, seed 1049).
func TestSuspendedHostResumesDuringAStoreOutage(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		h1 := w.start("h1")
		time.Sleep(time.Second)
		s := submission("j", 20)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		h1.store.SetPartitioned(true)
		h1.runner.SimulateSuspension()
		time.Sleep(2 * time.Second)
		h1.store.SetPartitioned(false)
		time.Sleep(10 * time.Second)
		w.checkResults(h1, s)
	})
}

func TestStoppingHostTransfersItsJobs(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
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
		w.checkResults(h2, s)
	})
}

// TestJobIsTakenOverTwice kills the owner of a job and then the next owner, while
// stale reads still return the first owner.
func TestJobIsTakenOverTwice(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		w.store.SetStaleReadLag(time.Minute)
		h1 := w.start("h1")
		for _, name := range []string{"h2", "h3", "h4", "h5"} {
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
