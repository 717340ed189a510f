package admission

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/dispatch"
)

// referenceQueue is the reference model of fairQueue: one list, one virtual time
// per team, and no removal of idle teams.
type referenceQueue struct {
	list         []*waiter
	virtualTimes map[string]float64
	virtualTime  float64
}

func (q *referenceQueue) isWaiting(team string) bool {
	for _, w := range q.list {
		if w.req.Team == team {
			return true
		}
	}
	return false
}

func (q *referenceQueue) push(w *waiter) {
	if !q.isWaiting(w.req.Team) {
		q.virtualTimes[w.req.Team] = max(q.virtualTimes[w.req.Team], q.virtualTime)
	}
	q.list = append(q.list, w)
}

func (q *referenceQueue) before(a, b *waiter) bool {
	x, y := a.req, b.req
	if x.Team == y.Team {
		return x.Deadline.Before(y.Deadline)
	}
	if q.virtualTimes[x.Team] != q.virtualTimes[y.Team] {
		return q.virtualTimes[x.Team] < q.virtualTimes[y.Team]
	}
	return x.Team < y.Team
}

func (q *referenceQueue) next() *waiter {
	var best *waiter
	for _, w := range q.list {
		if best == nil || q.before(w, best) {
			best = w
		}
	}
	return best
}

func (q *referenceQueue) remove(w *waiter) {
	for i := range q.list {
		if q.list[i] == w {
			q.list = append(q.list[:i:i], q.list[i+1:]...)
			return
		}
	}
}

func (q *referenceQueue) dequeue(w *waiter) {
	q.remove(w)
	q.virtualTime = max(q.virtualTime, q.virtualTimes[w.req.Team])
	q.virtualTimes[w.req.Team] += float64(w.req.Tokens) / w.req.Weight
}

func TestFairQueueMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFairQueue(byDeadline)
		model := &referenceQueue{virtualTimes: map[string]float64{}}
		now := time.Unix(0, 0)
		teamName := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				w := newWaiter(context.Background(), Request{
					Team: teamName.Draw(t, "team"), Weight: float64(rapid.IntRange(1, 4).Draw(t, "weight")),
					Tokens:   rapid.IntRange(1, 50).Draw(t, "tokens"),
					Deadline: now.Add(urgentWithin + time.Duration(rapid.IntRange(1, 9).Draw(t, "due"))*time.Hour),
				})
				f.push(w)
				model.push(w)
			},
			"dequeue": func(t *rapid.T) {
				w := f.peek(now)
				if w != model.next() {
					t.Fatalf("next is %+v, want %+v", w, model.next())
				}
				if w != nil {
					f.dequeue(w)
					model.dequeue(w)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(model.list) > 0 {
					w := rapid.SampledFrom(model.list).Draw(t, "waiter")
					f.remove(w)
					model.remove(w)
				}
			},
			"charge": func(t *rapid.T) {
				team, tokens := teamName.Draw(t, "team"), rapid.IntRange(0, 40).Draw(t, "more")
				f.charge(team, 1, tokens)
				model.virtualTimes[team] = max(model.virtualTimes[team], model.virtualTime*boolToFloat(!model.isWaiting(team))) + float64(tokens)
			},
			"remove idle teams": func(*rapid.T) { f.removeIdleTeams() },
			"": func(t *rapid.T) {
				if f.size != len(model.list) {
					t.Fatalf("%d requests are queued, want %d", f.size, len(model.list))
				}
			},
		})
	})
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serve dequeues requests until the given tokens are served, with refill before
// each, and returns the tokens served per team.
func serve(f *fairQueue, tokens int, refill func(round int)) map[string]int {
	served := map[string]int{}
	for round := 0; tokens > 0; round++ {
		refill(round)
		w := f.peek(time.Time{})
		f.dequeue(w)
		served[w.req.Team] += w.req.Tokens
		tokens -= w.req.Tokens
	}
	return served
}

func fill(f *fairQueue, team string, weight float64, tokens, n int) {
	for f.waitingCount(team) < n {
		f.push(newWaiter(context.Background(), Request{Team: team, Weight: weight, Tokens: tokens, Class: dispatch.Online}))
	}
}

func TestWorstServedTeamGetsItsShare(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byArrival)
	served := serve(&f, 800_000, func(int) {
		fill(&f, "burst", 1, 400, 200) // 10 times as many waiters with 4 times the tokens
		for i := range 7 {
			fill(&f, fmt.Sprintf("steady-%d", i), 1, 100, 20)
		}
	})
	for i := range 7 {
		share := float64(served[fmt.Sprintf("steady-%d", i)]) / 100_000
		c.Assert(share >= 0.95, qt.IsTrue, qt.Commentf("share %.3f of %v", share, served))
	}
}

func TestWeightsDivideTokens(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byArrival)
	served := serve(&f, 400_000, func(int) {
		fill(&f, "one", 1, 100, 5)
		fill(&f, "three", 3, 70, 5)
	})
	c.Assert(float64(served["three"])/float64(served["one"]) > 2.9, qt.IsTrue, qt.Commentf("%v", served))
	c.Assert(float64(served["three"])/float64(served["one"]) < 3.1, qt.IsTrue, qt.Commentf("%v", served))
}

func TestIdleTeamEarnsNoCredit(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byArrival)
	served := serve(&f, 200_000, func(round int) {
		fill(&f, "busy", 1, 100, 5)
		if round >= 1000 { // idle for the first 100,000 tokens
			fill(&f, "late", 1, 100, 5)
		}
	})
	c.Assert(served["late"] <= 50_200, qt.IsTrue, qt.Commentf("%v", served))
}

func TestServedTokensCorrectTheEstimate(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byArrival)
	extra := 0
	served := serve(&f, 200_000, func(int) {
		fill(&f, "liar", 1, 10, 5)
		fill(&f, "honest", 1, 100, 5)
		if n := len(f.teams["liar"].waiters); n < 5 {
			c.Fatal("refill failed")
		}
		if w := f.peek(time.Time{}); w.req.Team == "liar" {
			f.charge("liar", 1, 90) // served 100 tokens instead of the expected 10
			extra += 90
		}
	})
	total := float64(served["liar"] + extra)
	c.Assert(total/float64(served["honest"]) < 1.05, qt.IsTrue, qt.Commentf("%v + %d", served, extra))
}

func TestDeadlineAtRiskRaisesTheShare(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byDeadline)
	now := time.Now()
	push := func(team string, due time.Time) {
		for f.waitingCount(team) < 3 {
			f.push(newWaiter(context.Background(), Request{Team: team, Weight: 1, Tokens: 100, Class: dispatch.Batch, Deadline: due}))
		}
	}
	served := map[string]int{}
	for range 1000 {
		push("calm", now.Add(24*time.Hour))
		push("urgent", now.Add(time.Minute))
		w := f.peek(now)
		f.dequeue(w)
		served[w.req.Team]++
	}
	c.Assert(served["urgent"] > 3*served["calm"], qt.IsTrue, qt.Commentf("%v", served))
	c.Assert(served["calm"] > 0, qt.IsTrue)
}

func TestRemovesIdleTeams(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byArrival)
	for i := range 1000 {
		fill(&f, fmt.Sprint(i), 1, 1, 1)
		f.dequeue(f.peek(time.Time{}))
	}
	fill(&f, "last", 1, 10, 1)
	f.dequeue(f.peek(time.Time{}))
	fill(&f, "last", 1, 10, 1)
	f.dequeue(f.peek(time.Time{}))
	f.removeIdleTeams()
	c.Assert(len(f.teams) <= 1, qt.IsTrue, qt.Commentf("%d idle teams remain", len(f.teams)))
}

func BenchmarkFairQueue(b *testing.B) {
	for _, teams := range []int{8, 7200} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			f := newFairQueue(byArrival)
			for i := range teams {
				fill(&f, fmt.Sprint(i), 1, 100, 2)
			}
			b.ResetTimer()
			for range b.N {
				w := f.peek(time.Time{})
				f.dequeue(w)
				f.push(w)
			}
		})
	}
}
