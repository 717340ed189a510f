package jobs_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStreamWithoutEventsIsAnItemsOutput guards against an item that is listed as completed
// without an output, because an upstream ended a run before its first event.
func TestStreamWithoutEventsIsAnItemsOutput(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		h1 := w.start("h1")
		s, item := submitBreaking(w, h1, breakPlan{how: ends, runs: 5})
		w.waitForRuns(item, 5)
		time.Sleep(maxRetryGap + 2*time.Second)
		w.checkResults(h1, s)
		c.Assert(w.engine.runsOf(item), qt.Equals, 6)
		w.checkGaps(item, maxRetryGap)
	})
}

// TestItemWithoutEventsOutlivesItsDeadline guards against an item that is run without end,
// because none of its runs has an event.
func TestItemWithoutEventsOutlivesItsDeadline(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		h1 := w.start("h1")
		s, item := submitBreaking(w, h1, breakPlan{how: ends})
		time.Sleep(config(1).Routes[0].Batch.Retention + 2*time.Second)
		runs := w.engine.runsOf(item)
		time.Sleep(5 * time.Second)
		c.Assert(w.engine.runsOf(item), qt.Equals, runs)
		_, results, err := h1.read(s.ID)
		c.Assert(err, qt.IsNil)
		c.Assert(results, qt.HasLen, len(s.Items))
		for _, r := range results {
			c.Assert(r.Failed, qt.Equals, r.ID == item)
		}
	})
}

// TestOutputWithoutItsFirstEventsIsListed guards against an item that is listed as completed
// though the first events of its run are missing.
func TestOutputWithoutItsFirstEventsIsListed(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		w.engine.skips = 2
		h1 := w.start("h1")
		s, item := submitBreaking(w, h1, breakPlan{how: ends, afterEvents: eventsPerItem, runs: 3})
		w.waitForRuns(item, 3)
		time.Sleep(maxRetryGap + 2*time.Second)
		w.checkResults(h1, s)
		c.Assert(w.engine.runsOf(item), qt.Equals, 4)
	})
}

// TestRunsWithoutEventIDsAreJoined guards against an output that holds events twice: a run
// can't go on after an event that has no id.
func TestRunsWithoutEventIDsAreJoined(t *testing.T) {
	for name, numbered := range map[string]int{"no event has an id": 0, "the first events have ids": 3} {
		for _, how := range []breakKind{resets, pauses, crashes} {
			t.Run(fmt.Sprint(name, ", ", how), func(t *testing.T) {
				runCluster(t, func(c *qt.C, w *cluster) {
					w.engine.unnumbered, w.engine.numbered = true, numbered
					w.restartCrashedUpstreams()
					h1 := w.start("h1")
					s, item := submitBreaking(w, h1, breakPlan{how: how, afterEvents: 5, runs: 2})
					w.waitForRuns(item, 3)
					time.Sleep(5 * time.Second)
					w.checkResults(h1, s)
				})
			})
		}
	}
}

// TestCommentsAreLinesOfAnOutput guards against an output with empty lines, because its
// upstream sent comments between the events.
func TestCommentsAreLinesOfAnOutput(t *testing.T) {
	runCluster(t, func(c *qt.C, w *cluster) {
		w.engine.comments = true
		h1 := w.start("h1")
		s := submission("j", 3)
		c.Assert(h1.runner.Submit(background, s), qt.IsNil)
		time.Sleep(5 * time.Second)
		w.checkResults(h1, s)
	})
}
