package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["backlog"] = backlog }

const (
	backlogLimit    = 940000 // tokens that a tenant may have waiting on the route, as in the manifest
	backlogMost     = backlogLimit + backlogLimit/10
	backlogItems    = 24 // of a job
	backlogPad      = 15000
	backlogInterval = 50 * time.Millisecond // between jobs of the burst
	backlogBurst    = 6 * time.Second
	backlogKillAt   = time.Second            // after the begin of the burst
	backlogRestart  = 700 * time.Millisecond // after the kill
)

// backlogCount counts the tokens of accepted jobs. No worker finishes an item before the case
// ends.
type backlogCount struct {
	mu       sync.Mutex
	tokens   int
	accepted int
	refused  int
	other    int
	most     int
}

// hand submits one job and records the answer.
func (b *backlogCount) hand(f *fleet, h *host) answer {
	pad := strings.Repeat("x", backlogPad)
	var items []batchItem
	tokens := 0
	for n := range backlogItems {
		i := newItem(fmt.Sprintf("%08x", n), work{Events: 200, PauseMS: 400, Pad: pad})
		tokens += i.Tokens
		items = append(items, i)
	}
	job := newID()
	a := submit(h, job, items, 4*time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch a.status {
	case http.StatusAccepted:
		b.accepted++
		b.tokens += tokens
		b.most = max(b.most, b.tokens)
	case http.StatusTooManyRequests:
		b.refused++
	default:
		b.other++
	}
	f.note("job %s of %d tokens at %s: %s; %d tokens accepted in all", job, tokens, h.name, a, b.tokens)
	return a
}

// backlog fills a tenant's queue up to its limit, kills one of the hosts that run its jobs and
// starts it again, while more jobs come.
func backlog(f *fleet, trouble bool) (bool, error) {
	if err := f.writeConfig(); err != nil {
		return false, err
	}
	for range 9 {
		if err := f.startWorker(); err != nil {
			return false, err
		}
	}
	if err := f.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	count := &backlogCount{}
	for n := 0; ; n++ {
		if n == 200 {
			return false, fmt.Errorf("%w: the queue didn't fill", errNotRun)
		}
		if a := count.hand(f, f.hosts[n%len(f.hosts)]); a.status == http.StatusTooManyRequests {
			break
		} else if a.status != http.StatusAccepted {
			return false, fmt.Errorf("%w: a job was answered %s", errNotRun, a)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	f.note("the queue is full: %d tokens are accepted, at most %d may be", count.tokens, backlogMost)
	ended := make(chan error, 1)
	go func() {
		time.Sleep(backlogKillAt)
		if trouble {
			ended <- f.restartKilled(f.hosts[0], backlogRestart)
			return
		}
		ended <- nil
	}()
	var calls sync.WaitGroup
	begun := time.Now()
	for n := 0; time.Since(begun) < backlogBurst; n++ {
		h := f.hosts[1+n%2]
		calls.Go(func() { count.hand(f, h) })
		time.Sleep(backlogInterval)
	}
	calls.Wait()
	if err := <-ended; err != nil {
		return false, err
	}
	for _, r := range f.runs() {
		if r.What == "end" {
			return false, errors.Join(errNotRun, errors.New("a worker has finished an item"))
		}
	}
	count.mu.Lock()
	defer count.mu.Unlock()
	f.note("%d jobs accepted, %d refused, %d otherwise; at most %d tokens waited, %d may", count.accepted, count.refused, count.other, count.most, backlogMost)
	return count.most > backlogMost, nil
}
