package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["rate"] = rateCase
	cases["together"] = togetherCase
}

// The bounds of the sheets: quota_window_s, quota_overshoot and quota_slack.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// rateCase: a tenant sends more than its limit, its clients one after the other, so that its
// requests move from entry host to entry host.
func rateCase(b *bench) bool {
	t := tenant{name: "kaje80", key: "i9n73hh2b9wu3fexd9dn", rate: 60, burst: 60}
	b.startFleet(6, 9, site{version: 7, tenants: []tenant{t}}, func(*http.Request) plan {
		return plan{status: http.StatusOK, first: 10 * time.Millisecond, events: 5, pause: 5 * time.Millisecond}
	})
	time.Sleep(4 * time.Second)
	each := 120 // requests of a client
	pause := 6 * time.Millisecond
	if !b.trouble {
		each, pause = 12, 50*time.Millisecond // 20 a second, a third of the limit
	}
	var number atomic.Int64
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, h := range b.hosts {
		for range each {
			calls.Go(func() {
				id := fmt.Sprintf("q%05d", number.Add(1))
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				b.rec.note("request", id, "at", h.name)
				a := h.call(5*time.Second, http.MethodPost, onlinePath+"2f", "prompt", map[string]string{wire["request"]: id, "Api-Key": t.key, "X-Model": "m", wire["tokens"]: "250,40", wire["time left"]: "5000"})
				b.rec.note("answered", id, "status", fmt.Sprint(a.status))
			})
			time.Sleep(pause)
		}
	}
	calls.Wait()
	most := 0
	runs := b.rec.allRuns()
	for n, first := range runs {
		in := 0
		for _, r := range runs[n:] {
			if end := first.at.Add(quotaWindow); r.at.Before(end) {
				in++
			}
		}
		most = max(most, in)
	}
	allowed := (t.rate*quotaWindow.Seconds()+t.burst)*(1+quotaOvershoot) + quotaSlack
	b.rec.say("%d requests sent, %d run; most in a window of %v: %d, allowed %.0f", len(sent), len(runs), quotaWindow, most, allowed)
	return float64(most) <= allowed
}

// slowItems has each item take about 5 s.
func slowItems(*http.Request) plan {
	return plan{status: http.StatusOK, first: 50 * time.Millisecond, events: 250, pause: 20 * time.Millisecond}
}

const maxCount = 60_000

func limitTokens() int64 { return int64(maxCount * (1 + quotaOvershoot)) }

// togetherCase: many jobs of a tenant come at once.
func togetherCase(b *bench) bool {
	t := tenant{name: "kaje80", key: "i9n73hh2b9wu3fexd9dn"}
	b.startFleet(3, 2, site{version: 7, tenants: []tenant{t}, maxCount: maxCount}, slowItems)
	l := &backlog{b: b}
	var mu sync.Mutex
	highest := int64(0)
	var calls sync.WaitGroup
	for n := range 30 {
		calls.Go(func() {
			j := newJob(fmt.Sprintf("a%03d", n), t.key, 10, 600)
			if b.submit(b.hosts[n%3], j) == http.StatusAccepted {
				waiting := l.accepted(j)
				mu.Lock()
				highest = max(highest, waiting)
				mu.Unlock()
			}
		})
		if !b.trouble {
			time.Sleep(200 * time.Millisecond)
		}
	}
	calls.Wait()
	b.rec.say("at most %d tokens waited at a 202, allowed %d", highest, limitTokens())
	return highest <= limitTokens()
}
