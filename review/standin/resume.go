package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["resume"] = resume }

const (
	resumeJobs   = 300 // before the kill
	resumeBytes  = 15000
	resumeLast   = 6                // jobs that the killed host has accepted last
	resumeFinish = 18 * time.Second // finish_s
	resumeGiveUp = 45 * time.Second
	idleTime     = 5 * time.Second // in which no worker has an item of the jobs
)

// resume kills a host that runs jobs, starts it again, and waits for the results of its jobs.
func resume(f *fleet, trouble bool) (bool, error) {
	if err := f.startLoaded(resumeJobs, resumeBytes); err != nil {
		return false, err
	}
	jobs := map[string][]batchItem{}
	for range resumeLast {
		id, items := newID(), paddedJob(resumeBytes, 30, 100)
		a := submit(f.hosts[0], id, items, 4*time.Second)
		f.note("job %s at %s: %s", id, f.hosts[0].name, a)
		if a.status != http.StatusAccepted {
			return false, fmt.Errorf("%w: a job was answered %s", errNotRun, a)
		}
		jobs[id] = items
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := f.restartKilled(f.hosts[0], restartPause); err != nil {
			return false, err
		}
	}
	began := time.Now()
	f.note("the traffic has ended; the jobs have %s more", resumeFinish)
	for time.Since(began) < resumeFinish {
		time.Sleep(time.Second)
		if f.openItems(jobs) == 0 {
			f.note("all items are listed, %s after the end of the traffic", time.Since(began).Round(time.Millisecond))
			return false, nil
		}
	}
	open, active := f.openItems(jobs), f.activeSince(time.Now().Add(-idleTime))
	f.note("the time is over: %d of %d items are not listed; workers had %d items in the last %s", open, resumeLast*jobItems, active, idleTime)
	isBroken := open > 0 && active == 0
	for time.Since(began) < resumeGiveUp && f.openItems(jobs) > 0 {
		time.Sleep(time.Second)
	}
	f.note("%s after the end of the traffic %d items are not listed", time.Since(began).Round(time.Second), f.openItems(jobs))
	return isBroken, nil
}

// openItems returns how many items of the jobs are not listed, as read at the second host.
func (f *fleet) openItems(jobs map[string][]batchItem) int {
	open := 0
	for id, items := range jobs {
		_, results, err := read(f.hosts[1], id)
		if err != nil {
			f.note("%v", err)
		}
		open += len(items) - len(results)
	}
	return open
}

// activeSince returns how many events and runs of items workers have logged since the time.
func (f *fleet) activeSince(t time.Time) int {
	n := 0
	for _, r := range f.runs() {
		if r.At >= t.UnixMilli() {
			n++
		}
	}
	return n
}
