package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

func init() { cases["rolling"] = rollingRestart }

const (
	rollGap      = 2 * time.Second // between two hosts, as in the site's days
	restartDelay = 300 * time.Millisecond
)

// rollingRestart restarts the hosts in turn, and takes one away for good meanwhile, which has
// accepted a batch job.
func rollingRestart(f *fleet, trouble bool) (bool, error) {
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
	lost := f.hosts[6]
	order := []int{3, 4, 5, 7, 0, 1, 2}
	rolled := make(chan error, 1)
	go func() { rolled <- f.roll(order) }()
	time.Sleep(2 * rollGap)
	job := newID()
	var items []batchItem
	for range 8 {
		items = append(items, newItem("5c1e07a2", work{Events: 60, PauseMS: 40}))
	}
	a := submit(lost, job, items, 4*time.Second)
	f.note("job %s of %d items at %s: %s", job, len(items), lost.name, a)
	if a.status != 202 {
		return false, fmt.Errorf("%w: the job wasn't accepted", errNotRun)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		lost.signal(syscall.SIGKILL)
		f.note("%s is removed permanently, without SIGTERM", lost.name)
	}
	// The traffic ends here. Batch jobs have finish_s more.
	ended := time.Now()
	if err := <-rolled; err != nil {
		return false, err
	}
	f.hosts = slices.DeleteFunc(f.hosts, func(h *host) bool { return h == lost })
	if err := waitFor(10*time.Second, "the restarted hosts", func() bool {
		return !slices.ContainsFunc(f.hosts, func(h *host) bool { return !h.ready() })
	}); err != nil {
		return false, err
	}
	f.note("all hosts but the lost one are ready again")
	calmSince := time.Now()
	jobs := map[string][]batchItem{job: items}
	for time.Since(ended) < finish {
		time.Sleep(min(2*time.Second, finish-time.Since(ended)))
		f.noteListed(jobs)
	}
	if time.Since(calmSince) < calm {
		return false, fmt.Errorf("%w: the last %s weren't calm", errNotRun, calm)
	}
	isBroken, err := f.lostItems(job, items)
	for time.Since(ended) < 40*time.Second && isBroken && f.noteListed(jobs) > 0 { // what comes later
		time.Sleep(2 * time.Second)
	}
	return isBroken, err
}

// roll stops and starts the hosts in turn.
func (f *fleet) roll(order []int) error {
	failures := make(chan error, len(order))
	for _, n := range order {
		h := f.hosts[n]
		f.note("%s gets SIGTERM", h.name)
		h.signal(syscall.SIGTERM)
		go func() { failures <- f.restart(h) }()
		time.Sleep(rollGap)
	}
	for range order {
		if err := <-failures; err != nil {
			return err
		}
	}
	return nil
}

// restart waits for the end of a host that was told to stop, and starts it again.
func (f *fleet) restart(h *host) error {
	select {
	case <-h.exited:
	case <-time.After(graceTime):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	time.Sleep(restartDelay)
	c, err := f.start(h.name, []string{"MASTICSCALE_BOOT=" + h.settings}, f.binary, "fleet", "host")
	if err != nil {
		return err
	}
	f.note("%s has ended and starts again", h.name)
	h.child = c
	return nil
}
