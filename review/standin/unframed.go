package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["unframed"] = unframedAnswer }

const (
	unframedWorkers = 6
	answerEvents    = 60
	crashAfter      = 15 // events of the answer without a length
)

// unframedAnswer hands in a batch job, one of whose items is answered without a length, and kills
// the worker that answers it.
func unframedAnswer(f *fleet, trouble bool) (bool, error) {
	if err := f.writeConfig(); err != nil {
		return false, err
	}
	for range unframedWorkers {
		if err := f.startWorker(); err != nil {
			return false, err
		}
	}
	if err := f.startHosts(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.restartCrashed(stop)
	time.Sleep(3 * time.Second)
	var items []batchItem
	for n := range 40 {
		items = append(items, newItem("5c1e07a2", work{Events: answerEvents, PauseMS: 20, Unframed: n == 0}))
	}
	job := newID()
	a := submit(f.hosts[0], job, items, 4*time.Second)
	f.note("job %s of %d items, of which %s is answered without a length: %s", job, len(items), items[0].ID, a)
	if a.status != 202 {
		return false, fmt.Errorf("%w: the job wasn't accepted", errNotRun)
	}
	if trouble {
		if err := f.killWorkerOf(items[0].ID); err != nil {
			return false, err
		}
	}
	accepted := time.Now()
	var results []itemResult
	err := waitFor(finish, "the results", func() bool {
		time.Sleep(500 * time.Millisecond)
		total, now, err := read(f.hosts[1], job)
		results = now
		return err == nil && len(now) == total
	})
	if err != nil {
		return false, err
	}
	f.note("all %d results are listed %s after the acceptance", len(results), time.Since(accepted).Round(time.Millisecond))
	return f.mixedResults(items, results), nil
}

// killWorkerOf kills the worker that runs the item, once it has made some events.
func (f *fleet) killWorkerOf(item string) error {
	worker := ""
	err := waitFor(10*time.Second, "the run of the item", func() bool {
		for _, r := range f.runs() {
			if r.Request == item && r.What == "event" && r.Event >= crashAfter {
				worker = r.Worker
			}
		}
		return worker != ""
	})
	if err != nil {
		return err
	}
	for _, w := range f.workers {
		if w.id == worker {
			f.note("worker %s, which runs item %s, is killed", worker, item)
			w.signal(syscall.SIGKILL)
			<-w.exited
		}
	}
	return nil
}

// mixedResults checks the rule MIXED for the results of a job.
func (f *fleet) mixedResults(items []batchItem, results []itemResult) bool {
	byID := map[string]itemResult{}
	for _, r := range results {
		byID[r.ID] = r
	}
	mixed := 0
	for _, i := range items {
		r := byID[i.ID]
		for _, line := range f.runs() {
			if i.work.Unframed && line.Request == i.ID && line.What != "event" {
				f.note("worker %s: %s of item %s, event %d", line.Worker, line.What, i.ID, line.Event)
			}
		}
		if r.State == "completed" && r.Output != expectedOutput(i.ID, i.work.Events) {
			mixed++
			f.note("item %s is listed as completed with %d bytes of its output's %d: it ends with %q", i.ID, len(r.Output), len(expectedOutput(i.ID, i.work.Events)), tail(r.Output))
		}
	}
	f.note("%d of %d results are listed as completed and aren't the item's whole output", mixed, len(items))
	return mixed > 0
}

// tail returns the end of a text.
func tail(text string) string { return text[max(len(text)-30, 0):] }
