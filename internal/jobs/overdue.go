package jobs

import (
	"time"

	"github.com/sirupsen/logrus"
)

const overdueLogPeriod = 5 * time.Second // between lines about a job that is past its due time

// overdueState counts the unfinished items of a job by what they wait for.
type overdueState struct {
	waiting, running int
	longestRun       time.Duration
	mostBreaks       int // of an item that waits
}

// overdueState returns the state of the job's unfinished items.
func (j *job) overdueState(now time.Time) overdueState {
	var s overdueState
	for _, i := range j.items {
		switch {
		case i.state == itemRunning:
			s.running++
			s.longestRun = max(s.longestRun, now.Sub(i.runStarted))
		case i.state == itemWaiting:
			s.waiting++
			s.mostBreaks = max(s.mostBreaks, i.breaks)
		}
	}
	return s
}

// logOverdueJobs logs why the items of jobs that are past their due time aren't done.
func (r *Runner) logOverdueJobs(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		if !j.hasWork() || now.Before(j.due) {
			continue
		}
		s := j.overdueState(now)
		r.log.WithFields(logrus.Fields{
			"event": "job_overdue", "job": j.id, "overdue_ms": now.Sub(j.due).Milliseconds(), "waiting": s.waiting, "running": s.running,
			"most_breaks": s.mostBreaks, "longest_run_ms": s.longestRun.Milliseconds(), "unwritten": len(j.pending), "unverified": j.unverified, "fenced": j.fenced,
		}).Info("job is past its due time")
	}
}
