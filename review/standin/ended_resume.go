package main

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

func init() { cases["ended-resume"] = endedResume }

const (
	endedJobs     = 1000 // before the kill
	endedBytes    = 1450
	endedLast     = 12                      // jobs of the killed host
	endedFirst    = 500 * time.Millisecond  // from the host's return to the first end of a job
	endedInterval = 300 * time.Millisecond  // between the ends
	cancelTime    = 3000 * time.Millisecond // cancel_ms
	contactTime   = 4000 * time.Millisecond // contact_ms
)

// endedResume kills a host that runs jobs and starts it again. While it reads its jobs, their client
// ends them at another host, one after the other. No item of them may run later than cancel_ms
// after the answer.
func endedResume(f *fleet, trouble bool) (bool, error) {
	if err := f.startLoaded(endedJobs, endedBytes); err != nil {
		return false, err
	}
	jobOf := map[string]string{}
	var order []string
	for range endedLast {
		id, items := newID(), paddedJob(endedBytes, 100, 200)
		a := submit(f.hosts[0], id, items, 4*time.Second)
		f.note("job %s at %s: %s", id, f.hosts[0].name, a)
		if a.status != http.StatusAccepted {
			return false, fmt.Errorf("%w: a job was answered %s", errNotRun, a)
		}
		order = append(order, id)
		for _, i := range items {
			jobOf[i.ID] = id
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := f.restartKilled(f.hosts[0], restartPause); err != nil {
			return false, err
		}
	}
	inTouch := time.Now().Add(contactTime)
	time.Sleep(endedFirst)
	ended := map[string]time.Time{}
	for _, id := range order {
		a := call(http.MethodDelete, "http://"+f.hosts[1].callers+wire["results path"]+id, "", nil, nil, 5*time.Second)
		f.note("end of job %s at %s: %s", id, f.hosts[1].name, a)
		if a.status == http.StatusOK {
			ended[id] = time.Now()
		}
		time.Sleep(endedInterval)
	}
	time.Sleep(15 * time.Second)
	var late []run
	for _, r := range f.runs() {
		at, isEnded := ended[jobOf[r.Request]]
		if r.What == "begin" && isEnded && r.At > at.Add(cancelTime).UnixMilli() && r.At > inTouch.UnixMilli() {
			late = append(late, r)
		}
	}
	sort.Slice(late, func(a, b int) bool { return late[a].At < late[b].At })
	for _, r := range late {
		f.note("item %s of job %s began to run at %s %d ms after the answer to the end of its job", r.Request, jobOf[r.Request], r.Worker, r.At-ended[jobOf[r.Request]].UnixMilli())
	}
	f.note("%d jobs were ended; %d items began later than %s after that", len(ended), len(late), cancelTime)
	return len(late) > 0, nil
}
