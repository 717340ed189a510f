package jobs_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/jobs"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/quarantine"
)

// finishTime is the time in which accepted items must be done once all is calm, from the users'
// bounds.
const finishTime = 18 * time.Second

// partCrashes returns crashes under the part, each under a request of its own, at the times
// before now.
func partCrashes(part string, ago ...time.Duration) []quarantine.PartCrash {
	var crashes []quarantine.PartCrash
	for n, before := range ago {
		crashed := time.Now().Add(-before)
		crashes = append(crashes, quarantine.PartCrash{
			Part: part, Upstream: quarantine.Instance{ID: fmt.Sprint("gone", n)}, At: crashed, Sent: crashed.Add(-100 * time.Millisecond),
			Contents: []quarantine.Fingerprint{{byte(n)}}, Teams: []string{"cafe"},
		})
	}
	return crashes
}

// submitWithParts submits a job of eight items, all with the parts, through the host.
func submitWithParts(c *qt.C, h *host, id string, parts ...string) jobs.Submission {
	s := submission(id, 8)
	for n := range s.Items {
		s.Items[n].PromptParts = parts
	}
	c.Assert(h.runner.Submit(background, s), qt.IsNil)
	return s
}

// TestItemsWaitForARequestToTryTheirPart guards against items that wait until their deadline
// because a part of their prompts is quarantined, and no request comes that tries it again.
func TestItemsWaitForARequestToTryTheirPart(t *testing.T) {
	const s = time.Second
	afterFailedTrials := []time.Duration{100 * s, 99 * s, 98 * s, 96 * s, 87 * s, s} // under requests, at 2, 11 and 97 s
	for name, tc := range map[string]struct {
		parts     []string
		ago       []time.Duration // of the crashes
		fromStore bool            // they are known from the store alone
		ownerLost bool
	}{
		"known from a peer":          {parts: []string{"5c"}, ago: []time.Duration{3 * s, 2 * s, s}},
		"known from the store":       {parts: []string{"5c"}, ago: []time.Duration{3 * s, 2 * s, s}, fromStore: true},
		"after failed trials":        {parts: []string{"5c"}, ago: afterFailedTrials},
		"two parts":                  {parts: []string{"5c", "7e"}, ago: []time.Duration{3 * s, 2 * s, s}},
		"the owner of a job is lost": {parts: []string{"5c"}, ago: []time.Duration{3 * s, 2 * s, s}, ownerLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(c *qt.C, w *cluster) {
				hosts := []*host{w.start("h1"), w.start("h2"), w.start("h3"), w.start("h4"), w.start("h5")}
				time.Sleep(s)
				peer := mesh.State{Host: "h9", Incarnation: "i"}
				for n, part := range tc.parts {
					crashes := partCrashes(part, tc.ago...)
					for k := range crashes {
						crashes[k].Upstream.ID += fmt.Sprint(n) // the parts aren't explained by each other
					}
					peer.PartCrashes = append(peer.PartCrashes, crashes...)
				}
				for _, h := range hosts {
					if tc.fromStore {
						h.core.RestorePartCrashes(peer.PartCrashes)
					} else {
						h.core.MergeState(peer)
					}
				}
				c.Assert(hosts[0].core.RefusesPromptParts(tc.parts, "cafe"), qt.IsTrue)
				job := submitWithParts(c, hosts[0], "j", tc.parts...)
				wait := finishTime
				if tc.ownerLost {
					time.Sleep(s)
					hosts[0].kill()
					wait += finishTime
				}
				time.Sleep(wait)
				w.checkResults(hosts[1], job)
				for _, part := range tc.parts {
					c.Check(hosts[2].core.IsPartQuarantined(part), qt.IsFalse)
				}
			})
		})
	}
}

// TestEachItemTriesAQuarantinedPart guards against items that each end an upstream, because a
// part that all of them have does, and against hosts that try the part each for itself: of the
// sends later than three seconds after the fifth crash, three are allowed.
func TestEachItemTriesAQuarantinedPart(t *testing.T) {
	for crashesBefore, ago := range map[string][]time.Duration{
		"three crashes before": {3 * time.Second, 2 * time.Second, time.Second},
		"five crashes before":  {9 * time.Second, 8 * time.Second, 7 * time.Second, 6 * time.Second, 5 * time.Second},
	} {
		t.Run(crashesBefore, func(t *testing.T) {
			runCluster(t, func(c *qt.C, w *cluster) {
				w.c = c
				startCrashFleet(w)
				crashed := []time.Time{}
				for _, before := range ago {
					crashed = append(crashed, time.Now().Add(-before))
				}
				restart := w.engine.onCrash
				w.engine.onCrash = func(id string) {
					crashed = append(crashed, time.Now())
					restart(id)
				}
				w.hosts["h1"].core.MergeState(mesh.State{Host: "h9", Incarnation: "i", PartCrashes: partCrashes("5c", ago...)})
				time.Sleep(500 * time.Millisecond)
				var items []string
				for n := range 5 {
					s := submission(fmt.Sprint("j", n), 8)
					for k := range s.Items {
						s.Items[k].PromptParts = []string{"5c"}
						w.engine.breaks[s.Items[k].ID] = breakPlan{}
						items = append(items, s.Items[k].ID)
					}
					c.Assert(w.hosts[fmt.Sprint("h", n+1)].runner.Submit(background, s), qt.IsNil)
				}
				time.Sleep(58 * time.Second) // the items are given up after a minute
				c.Assert(len(crashed) >= 5, qt.IsTrue, qt.Commentf("%d crashes", len(crashed)))
				late := 0
				for _, item := range items {
					for _, start := range w.engine.startsOf(item) {
						if start.After(crashed[4].Add(3 * time.Second)) {
							late++
						}
					}
				}
				c.Check(late <= 3, qt.IsTrue, qt.Commentf("%d late sends", late))
				c.Logf("%d crashes, %d late sends", len(crashed), late)
			})
		})
	}
}

// TestJobIsAcceptedThatCannotRun guards against a job that is accepted, though an item of it can't
// run before its deadline: a part of its prompt has crashed the upstreams of all allowed trials.
func TestJobIsAcceptedThatCannotRun(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		h1 := w.start("h1")
		const s = time.Second
		h1.core.MergeState(mesh.State{Host: "h9", Incarnation: "i", PartCrashes: partCrashes("5c", 40*s, 39*s, 38*s, 37*s, 36*s, 30*s, 24*s, 18*s)})
		job := submission("j", 8)
		job.Items[7].PromptParts = []string{"50", "5c"}
		err := h1.runner.Submit(background, job)
		c.Assert(apierr.IsKind(err, apierr.Quarantined), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(apierr.From(err).Execution, qt.Equals, apierr.NotRun)
		h1.core.ReportAnswered([]string{"5c"}) // of a run that had begun before
		c.Assert(h1.runner.Submit(background, job), qt.IsNil)
		time.Sleep(finishTime)
		w.checkResults(h1, job)
	})
}

// TestJobIsRefusedThatOutlastsAQuarantine guards against a job that is refused for a part of a
// prompt, though the part's quarantine ends before the job's deadline.
func TestJobIsRefusedThatOutlastsAQuarantine(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		h1 := w.start("h1")
		long := config(2)
		long.Routes[0].Batch.Retention = 2 * time.Hour
		h1.core.SetConfig(long)
		const s = time.Second
		h1.core.MergeState(mesh.State{Host: "h9", Incarnation: "i", PartCrashes: partCrashes("5c", 40*s, 39*s, 38*s, 37*s, 36*s, 30*s, 24*s, 18*s)})
		job := submitWithParts(c, h1, "j", "5c")
		time.Sleep(time.Hour + time.Minute)
		w.checkResults(h1, job)
	})
}
