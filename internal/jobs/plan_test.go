package jobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func jobOf(id, team, route string, due time.Time, items int) *job {
	j := &job{id: id, due: due, record: record{Team: team, Route: route, Total: items}}
	for range items {
		j.items = append(j.items, &item{job: j})
	}
	return j
}

// TestDeferredItemsOfAnotherRouteGoOn guards against a run that is stopped for an item that
// can't use its slot.
func TestDeferredItemsOfAnotherRouteGoOn(t *testing.T) {
	c := qt.New(t)
	j := jobOf("j", "team", "a", time.Unix(1000, 0), 2)
	for _, i := range j.items {
		i.state, i.deferred, i.cancelRun = itemRunning, true, func() {}
	}
	all := map[string]*job{"j": j}
	c.Assert(deferredRun(all, "b"), qt.IsNil)
	j.items[0].yielding = true
	c.Assert(deferredRun(all, "a"), qt.Equals, j.items[1])
	j.items[1].deferred = false
	c.Assert(deferredRun(all, "a"), qt.IsNil)
}

// TestPlan checks which items are deferred: none that fit, those of the team with the most work
// first, and of these the ones that are due first unless they have run already.
func TestPlan(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	stats := newRunStats()
	plan := func(slots float64, jobs ...*job) map[string]int {
		var items []*item
		for _, j := range jobs {
			items = append(items, j.items...)
		}
		stats.planItems(items, slots, now)
		deferred := map[string]int{}
		for _, i := range items {
			if i.deferred {
				deferred[i.job.id]++
			}
		}
		return deferred
	}
	due := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	c.Assert(plan(4, jobOf("a", "t", "r", due(18), 10)), qt.HasLen, 0)
	c.Assert(plan(4, jobOf("late", "t", "r", due(3), 1)), qt.DeepEquals, map[string]int{"late": 1}, qt.Commentf("an item takes 4 s"))
	flood := jobOf("flood", "big", "r", due(18), 40)
	small := jobOf("small", "small", "r", due(18), 2)
	deferred := plan(4, flood, small)
	c.Assert(deferred["small"], qt.Equals, 0, qt.Commentf("the flood of one team costs others nothing"))
	c.Assert(deferred["flood"] >= 25, qt.IsTrue, qt.Commentf("%v", deferred))
	for n, i := range small.items {
		c.Check(i.contested, qt.IsFalse, qt.Commentf("item %d", n))
		c.Check(runsBefore(i, flood.items[0], now), qt.IsTrue)
	}
	older, newer := jobOf("older", "t", "r", due(12), 10), jobOf("newer", "t", "r", due(18), 10)
	older.items[0].events = 200 // of 250
	deferred = plan(2, older, newer)
	c.Assert(older.items[0].deferred, qt.IsFalse, qt.Commentf("what has almost run"))
	c.Assert(deferred["older"] > deferred["newer"], qt.IsTrue, qt.Commentf(fmt.Sprint(deferred)))
}
