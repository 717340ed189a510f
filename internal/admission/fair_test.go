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

// naiveQueue is the fair queue written as plainly as possible: one list, one
// account a team, nothing forgotten.
type naiveQueue struct {
	list    []*waiter
	account map[string]float64
	now     float64
}

func (q *naiveQueue) waits(team string) bool {
	for _, w := range q.list {
		if w.req.Team == team {
			return true
		}
	}
	return false
}

func (q *naiveQueue) push(w *waiter) {
	if !q.waits(w.req.Team) {
		q.account[w.req.Team] = max(q.account[w.req.Team], q.now)
	}
	q.list = append(q.list, w)
}

func (q *naiveQueue) before(a, b *waiter) bool {
	x, y := a.req, b.req
	if x.Team == y.Team {
		return x.Deadline.Before(y.Deadline)
	}
	if q.account[x.Team] != q.account[y.Team] {
		return q.account[x.Team] < q.account[y.Team]
	}
	return x.Team < y.Team
}

func (q *naiveQueue) next() *waiter {
	var best *waiter
	for _, w := range q.list {
		if best == nil || q.before(w, best) {
			best = w
		}
	}
	return best
}

func (q *naiveQueue) remove(w *waiter) {
	for i := range q.list {
		if q.list[i] == w {
			q.list = append(q.list[:i:i], q.list[i+1:]...)
			return
		}
	}
}

func (q *naiveQueue) take(w *waiter) {
	q.remove(w)
	q.now = max(q.now, q.account[w.req.Team])
	q.account[w.req.Team] += float64(w.req.Tokens) / w.req.Weight
}

func TestFairQueueEqualsNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFairQueue(byDeadline)
		n := &naiveQueue{account: map[string]float64{}}
		now := time.Unix(0, 0)
		team := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				w := newWaiter(context.Background(), Request{
					Team: team.Draw(t, "team"), Weight: float64(rapid.IntRange(1, 4).Draw(t, "weight")),
					Tokens:   rapid.IntRange(1, 50).Draw(t, "tokens"),
					Deadline: now.Add(urgentTime + time.Duration(rapid.IntRange(1, 9).Draw(t, "due"))*time.Hour),
				})
				f.push(w)
				n.push(w)
			},
			"take": func(t *rapid.T) {
				w := f.peek(now)
				if w != n.next() {
					t.Fatalf("next is %+v, want %+v", w, n.next())
				}
				if w != nil {
					f.take(w)
					n.take(w)
				}
			},
			"give up": func(t *rapid.T) {
				if len(n.list) > 0 {
					w := rapid.SampledFrom(n.list).Draw(t, "waiter")
					f.remove(w)
					n.remove(w)
				}
			},
			"served more": func(t *rapid.T) {
				who, tokens := team.Draw(t, "team"), rapid.IntRange(0, 40).Draw(t, "more")
				f.charge(who, 1, tokens)
				n.account[who] = max(n.account[who], n.now*b2f(!n.waits(who))) + float64(tokens)
			},
			"sweep": func(*rapid.T) { f.sweep() },
			"": func(t *rapid.T) {
				if f.size != len(n.list) {
					t.Fatalf("%d wait, want %d", f.size, len(n.list))
				}
			},
		})
	})
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serve runs a server of one token at a time and returns each team's tokens.
func serve(f *fairQueue, tokens int, refill func(round int)) map[string]int {
	served := map[string]int{}
	for round := 0; tokens > 0; round++ {
		refill(round)
		w := f.peek(time.Time{})
		f.take(w)
		served[w.req.Team] += w.req.Tokens
		tokens -= w.req.Tokens
	}
	return served
}

func fill(f *fairQueue, team string, weight float64, tokens, n int) {
	for f.waiting(team) < n {
		f.push(newWaiter(context.Background(), Request{Team: team, Weight: weight, Tokens: tokens, Class: dispatch.Online}))
	}
}

func TestWorstServedTeamGetsItsShare(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byArrival)
	served := serve(&f, 800_000, func(int) {
		fill(&f, "burst", 1, 400, 200) // ten times as many waiting, and larger ones
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

func TestIdleTeamBanksNoCredit(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byArrival)
	served := serve(&f, 200_000, func(round int) {
		fill(&f, "busy", 1, 100, 5)
		if round >= 1000 { // idle for the first half
			fill(&f, "late", 1, 100, 5)
		}
	})
	c.Assert(served["late"] <= 50_200, qt.IsTrue, qt.Commentf("%v", served))
}

func TestServedTokensCorrectTheEstimate(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byArrival)
	liar := 0
	served := serve(&f, 200_000, func(int) {
		fill(&f, "liar", 1, 10, 5)
		fill(&f, "honest", 1, 100, 5)
		if n := len(f.teams["liar"].waiters); n < 5 {
			c.Fatal("refill failed")
		}
		if w := f.peek(time.Time{}); w.req.Team == "liar" {
			f.charge("liar", 1, 90) // it is served 100 tokens
			liar += 90
		}
	})
	total := float64(served["liar"] + liar)
	c.Assert(total/float64(served["honest"]) < 1.05, qt.IsTrue, qt.Commentf("%v + %d", served, liar))
}

func TestDeadlineAtRiskRaisesTheShare(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byDeadline)
	now := time.Now()
	push := func(team string, due time.Time) {
		for f.waiting(team) < 3 {
			f.push(newWaiter(context.Background(), Request{Team: team, Weight: 1, Tokens: 100, Class: dispatch.Batch, Deadline: due}))
		}
	}
	served := map[string]int{}
	for range 1000 {
		push("calm", now.Add(24*time.Hour))
		push("urgent", now.Add(time.Minute))
		w := f.peek(now)
		f.take(w)
		served[w.req.Team]++
	}
	c.Assert(served["urgent"] > 3*served["calm"], qt.IsTrue, qt.Commentf("%v", served))
	c.Assert(served["calm"] > 0, qt.IsTrue)
}

func TestForgetsIdleTeams(t *testing.T) {
	c := qt.New(t)
	f := newFairQueue(byArrival)
	for i := range 1000 {
		fill(&f, fmt.Sprint(i), 1, 1, 1)
		f.take(f.peek(time.Time{}))
	}
	fill(&f, "last", 1, 10, 1)
	f.take(f.peek(time.Time{}))
	fill(&f, "last", 1, 10, 1)
	f.take(f.peek(time.Time{}))
	f.sweep()
	c.Assert(len(f.teams) <= 1, qt.IsTrue, qt.Commentf("%d teams are kept", len(f.teams)))
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
				f.take(w)
				f.push(w)
			}
		})
	}
}
