package main

import (
	"fmt"
	"time"
)

func init() { cases["prompt-part"] = promptPart }

const (
	promptWorkers = 6
	downTime      = 2 * time.Second // of a worker that has crashed
	finish        = 18 * time.Second
	calm          = 5 * time.Second
	unfinished    = 3 * time.Second  // in which no item of any job was finished
	retention     = 60 * time.Second // from a job's first send
)

// promptPart sends two requests that crash each worker that begins to run them, several times,
// and then a batch job whose items share a part of the prompt with them.
func promptPart(f *fleet, trouble bool) (bool, error) {
	if err := f.writeConfig(); err != nil {
		return false, err
	}
	for range promptWorkers {
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
	const shared, other = "5c1e07a2", "91bd3f06"
	id, a := stream(f.hosts[0], other, work{Events: 10, PauseMS: 20})
	f.note("request %s with part %s: %s", id, other, a)
	if !a.isWholeStream(id, 10) {
		return false, fmt.Errorf("%w: a request isn't served before the disruption", errNotRun)
	}
	for n := range 4 {
		w := work{Events: 10, PauseMS: 20, Deadly: trouble, Pad: fmt.Sprint("question ", n%2)}
		id, a := stream(f.hosts[n%len(f.hosts)], shared, w)
		f.note("request %s with part %s, content %d, which crashes workers (%t): %s", id, shared, n%2, trouble, a)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(downTime + time.Second)
	job := newID()
	var items []batchItem
	for range 8 {
		items = append(items, newItem(shared, work{Events: 30, PauseMS: 20}))
	}
	for try := 0; ; try++ {
		a := submit(f.hosts[try%len(f.hosts)], job, items, 4*time.Second)
		f.note("job %s of %d items with part %s: %s", job, len(items), shared, a)
		if a.status == 202 {
			break
		}
		if try == 4 {
			return false, fmt.Errorf("%w: the job wasn't accepted", errNotRun)
		}
		time.Sleep(500 * time.Millisecond)
	}
	accepted := time.Now()
	// The traffic ends here. Batch jobs have finish_s more.
	for time.Since(accepted) < finish {
		time.Sleep(2 * time.Second)
		total, results, err := read(f.hosts[1], job)
		f.note("job %s: %d results of %d (error: %v)", job, len(results), total, err)
		if err == nil && len(results) == total {
			break
		}
	}
	broken, err := f.lostItems(job, items)
	if err != nil || !broken {
		return broken, err
	}
	time.Sleep(time.Until(accepted.Add(retention + 2*time.Second)))
	_, results, err := read(f.hosts[0], job)
	states := map[string]int{}
	for _, r := range results {
		states[r.State]++
	}
	f.note("%s after the acceptance, for information: states of the job's results %v (error: %v)", time.Since(accepted).Round(time.Second), states, err)
	return true, nil
}

// lostItems checks the rule LOST for the items of a job when finish_s is over.
func (f *fleet) lostItems(job string, items []batchItem) (bool, error) {
	listed := map[string]itemResult{}
	total, results, err := read(f.hosts[2], job)
	if err != nil {
		return false, err
	}
	for _, r := range results {
		listed[r.ID] = r
	}
	byWorker, failed, ended := 0, 0, 0
	for _, r := range f.runs() {
		if r.What == "end" && time.Since(time.UnixMilli(r.At)) < unfinished {
			ended++
		}
		for _, i := range items {
			if r.Request == i.ID && time.Since(time.UnixMilli(r.At)) < calm {
				byWorker++
			}
			if r.Request == i.ID && r.What == "crash" {
				failed++
			}
		}
	}
	lost := 0
	for _, i := range items {
		r, ok := listed[i.ID]
		switch {
		case !ok:
			lost++
			f.note("item %s is listed neither as completed nor as given up", i.ID)
		case r.State == "completed" && r.Output != expectedOutput(i.ID, i.work.Events):
			return false, fmt.Errorf("%w: item %s has another output than expected", errNotRun, i.ID)
		}
	}
	runningWorkers := 0
	for _, w := range f.workers {
		if w.running() {
			runningWorkers++
		}
	}
	f.note("finish_s is over: %d of %d items of job %s aren't listed; in the last %s workers had %d events of them; in the last %s %d requests ended; %d workers run; items that failed at a worker: %d",
		lost, total, job, calm, byWorker, unfinished, ended, runningWorkers, failed)
	return lost > 0 && byWorker == 0 && failed == 0 && ended == 0, nil
}

// restartCrashed starts a new worker some time after one has ended, and removes the entry of
// the one that has ended.
func (f *fleet) restartCrashed(stop <-chan struct{}) {
	handled := map[string]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		f.mu.Lock()
		workers := append([]*workerProcess(nil), f.workers...)
		f.mu.Unlock()
		for _, w := range workers {
			if w.running() || handled[w.id] {
				continue
			}
			handled[w.id] = true
			f.note("worker %s has crashed", w.id)
			go f.removeEntry(w)
			go func() {
				time.Sleep(downTime)
				if err := f.startWorker(); err == nil {
					f.note("a new worker starts in the place of %s", w.id)
				}
			}()
		}
	}
}
