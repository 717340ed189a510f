package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["half-lost"] = halfLost }

const (
	manyHosts = 8 // as on the small sites
	lostHosts = 4
)

// halfLost hands in a batch job at each host, and takes half of the hosts away for good.
func halfLost(f *fleet, trouble bool) (bool, error) {
	if err := f.writeConfig(); err != nil {
		return false, err
	}
	for range 6 {
		if err := f.startWorker(); err != nil {
			return false, err
		}
	}
	if err := f.startHosts(manyHosts); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	jobs := map[string][]batchItem{}
	for n, h := range f.hosts {
		job := newID()
		for range 4 {
			jobs[job] = append(jobs[job], newItem("5c1e07a2", work{Events: 60, PauseMS: 40}))
		}
		a := submit(h, job, jobs[job], 4*time.Second)
		f.note("job %s of %d items at edge-%d: %s", job, len(jobs[job]), n, a)
		if a.status != 202 {
			return false, fmt.Errorf("%w: a job wasn't accepted", errNotRun)
		}
	}
	time.Sleep(time.Second)
	if trouble {
		for _, h := range f.hosts[:lostHosts] {
			h.signal(syscall.SIGKILL)
			f.note("%s is removed permanently, without SIGTERM", h.name)
		}
	}
	f.hosts = f.hosts[lostHosts:]
	// The traffic ends here. Batch jobs have finish_s more.
	ended := time.Now()
	for time.Since(ended) < finish {
		time.Sleep(2 * time.Second)
		f.noteListed(jobs)
	}
	lost := false
	for job, items := range jobs {
		broken, err := f.lostItems(job, items)
		if err != nil {
			return false, err
		}
		lost = lost || broken
	}
	for time.Since(ended) < 40*time.Second && lost && f.noteListed(jobs) > 0 { // what comes later
		time.Sleep(2 * time.Second)
	}
	return lost, nil
}

// noteListed writes how many items are listed, and returns how many aren't.
func (f *fleet) noteListed(jobs map[string][]batchItem) int {
	listed, all, failed := 0, 0, 0
	for job := range jobs {
		total, results, err := read(f.hosts[len(f.hosts)-1], job)
		if err != nil {
			failed++
			continue
		}
		listed, all = listed+len(results), all+total
	}
	f.note("%d of %d items of %d jobs are listed; %d jobs couldn't be read", listed, all, len(jobs), failed)
	return all - listed
}
