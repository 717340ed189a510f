package jobs

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	itemBytes     = 512         // about what an item takes beside its texts
	requestsDrain = time.Second // after which memory that requests take may be free
)

// Memory tells whether this host has memory for another job.
type Memory interface {
	// JobsFull reports whether there is none beside accepted jobs of kept bytes. It lasts
	// if that is so without any request but the submission, which takes own bytes.
	JobsFull(kept, own int64) (full, lasting bool)
	// JobRefused records that a job was refused for that.
	JobRefused(id string, kept int64, retryAfter time.Duration)
}

// SetMemory bounds the memory of accepted jobs, and the bytes of the cache of other hosts'
// jobs. Without it there is no bound. It must be called before Run and Submit.
func (r *Runner) SetMemory(m Memory, remoteBytes int64) {
	r.memory = m
	r.remote.limit = remoteBytes
}

// bytes returns about how much memory the items of the record take.
func (r *record) bytes() int64 {
	total := 0
	for n := range r.Items {
		i := &r.Items[n]
		total += itemBytes + len(i.ID) + len(i.Path) + len(i.Body)
		for name, value := range i.Header {
			total += fieldOverhead + len(name) + len(value)
		}
	}
	return int64(total)
}

// keptJobs returns about how much memory the items of the jobs take that this host runs or
// ran, and the earliest time at which a job's retention ends.
func (r *Runner) keptJobs() (bytes int64, firstEnd time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		bytes += j.bytes
		if end := r.expiry(j.record.SubmittedMS); firstEnd.IsZero() || end.Before(firstEnd) {
			firstEnd = end
		}
	}
	return bytes, firstEnd
}

// checkMemory rejects a job for which this host has no memory. A job that the store already
// has isn't rejected, whether or not its owner announces it yet; then known is true.
func (r *Runner) checkMemory(ctx context.Context, s Submission, team string) (known bool, err error) {
	if r.memory == nil {
		return false, nil
	}
	kept, firstEnd := r.keptJobs()
	full, lasting := r.memory.JobsFull(kept, s.Reserved)
	if !full {
		return false, nil
	}
	m, err := r.findRemote(ctx, s.ID)
	if !errors.Is(err, objstore.ErrNotFound) {
		return true, r.acceptFound(m, err, s, team)
	}
	retryAfter := requestsDrain
	if lasting {
		retryAfter = max(retryAfter, time.Until(firstEnd)) + cleanupPeriod
	}
	r.memory.JobRefused(s.ID, kept, retryAfter)
	return false, apierr.New(apierr.Overloaded, "the jobs that this host has accepted fill its memory", "hand the job in again later, or at another host").WithRetryAfter(retryAfter)
}
