package batch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/membership"
)

// resyncInterval is the interval at which the rendezvous host of a job reads
// the job's chunks again without other cause, and at which any host reads a job again that
// a list lacked.
const resyncInterval = 30 * time.Second

// jobEntry is this host's state of one unfinished job.
type jobEntry struct {
	job        job.Job
	rendezvous bool // whether this host is the job's rendezvous host
	stale      bool // whether the chunks must be read again
	unlisted   bool // whether the latest list of running jobs lacked the job
	lastListed time.Time
	chunks     map[int]job.StoredChunk
	available  []int // chunks that can be claimed, in claim order
	running    map[int]*chunkRun
}

// worklist holds the unfinished jobs and the chunks in progress on this host.
// It does no I/O and isn't safe for concurrent use.
type worklist struct {
	self          membership.Owner
	members       []membership.Host
	jobs          map[string]*jobEntry
	runningByTeam map[string]int // number of running chunks by team
}

func newWorklist() *worklist {
	return &worklist{jobs: map[string]*jobEntry{}, runningByTeam: map[string]int{}}
}

// updateJob records a job's state and returns its entry, or nil if the job has
// ended and none of its chunks runs here.
func (w *worklist) updateJob(j job.Job) *jobEntry {
	e, known := w.jobs[j.ID]
	if !known && j.State.Terminal() {
		return nil
	}
	if !known {
		e = &jobEntry{running: map[int]*chunkRun{}, rendezvous: w.isRendezvousHost(j.ID)}
		w.jobs[j.ID] = e
	}
	changed := known && e.job.State != j.State
	e.job = j
	e.stale = e.stale || changed
	if j.State.Terminal() && len(e.running) == 0 {
		delete(w.jobs, j.ID)
	}
	return e
}

// removeJob removes a job that is no longer stored as running. The job has
// ended, so this host has lost any chunk of it that still runs here.
func (w *worklist) removeJob(id string) {
	e, known := w.jobs[id]
	if !known {
		return
	}
	if len(e.running) == 0 {
		delete(w.jobs, id)
		return
	}
	e.job.State = job.Completed
	for _, u := range e.running {
		u.cancel()
	}
}

// setMembers records the cluster members. On a change, the jobs whose
// rendezvous host is this one become stale, to find chunks whose owners have
// left.
func (w *worklist) setMembers(self membership.Owner, members []membership.Host) {
	same := func(x, y membership.Host) bool { return x.Name == y.Name && x.Epoch == y.Epoch }
	if self == w.self && slices.EqualFunc(members, w.members, same) {
		return
	}
	w.self, w.members = self, members
	for id, e := range w.jobs {
		e.rendezvous = w.isRendezvousHost(id)
		e.stale = e.stale || e.rendezvous
	}
}

// isRendezvousHost reports whether this host is the job's rendezvous host. All
// hosts with the same member list agree on it.
func (w *worklist) isRendezvousHost(id string) bool {
	best, isSelf := uint64(0), true
	for _, m := range w.members {
		if score := xxhash.Sum64String(id + "\x00" + m.Name); score >= best {
			best, isSelf = score, m.Name == w.self.Host
		}
	}
	return isSelf
}

// jobsToRefresh returns the jobs whose chunks must be read again.
func (w *worklist) jobsToRefresh(now time.Time) []string {
	var ids []string
	for id, e := range w.jobs {
		resync := (e.rendezvous || e.unlisted) && now.Sub(e.lastListed) > resyncInterval
		if e.stale || resync {
			ids = append(ids, id)
		}
	}
	return ids
}

// setChunks records the chunks of a job as read from the store.
func (w *worklist) setChunks(id string, now time.Time, chunks map[int]job.StoredChunk, lapsed func(membership.Owner) bool) {
	e, known := w.jobs[id]
	if !known {
		return
	}
	e.chunks, e.lastListed, e.stale, e.available = chunks, now, false, nil
	total := len(e.job.Lines)
	offset := w.startOffset(total)
	for n := range total {
		i := (offset + n) % total
		if e.running[i] == nil && w.isAvailable(chunks, i, lapsed) {
			e.available = append(e.available, i)
		}
	}
}

func (w *worklist) isAvailable(chunks map[int]job.StoredChunk, i int, lapsed func(membership.Owner) bool) bool {
	c, claimed := chunks[i]
	if !claimed {
		return true
	}
	return !c.Done() && (c.IsUnowned() || c.Owner == w.self || lapsed(c.Owner))
}

// startOffset returns the first chunk to claim. Each host starts at a
// different chunk, to reduce claim conflicts.
func (w *worklist) startOffset(total int) int {
	for rank, m := range w.members {
		if m.Name == w.self.Host {
			return rank * total / len(w.members)
		}
	}
	return 0
}

// task is a chunk to run.
type task struct {
	job    job.Job
	index  int
	stored job.StoredChunk
}

// nextTask returns the chunk to run next: of the team with the fewest running
// chunks on this host, the job with the earliest deadline. If the chunks of
// that job were never read, it returns only the job's id, as unread.
func (w *worklist) nextTask() (t task, unread string, ok bool) {
	var best *jobEntry
	for _, e := range w.jobs {
		runnable := e.job.State == job.Running && (e.lastListed.IsZero() || len(e.available) > 0)
		if runnable && (best == nil || w.hasPriority(e, best)) {
			best = e
		}
	}
	if best == nil {
		return task{}, "", false
	}
	if best.lastListed.IsZero() {
		return task{}, best.job.ID, true
	}
	i := best.available[0]
	best.available = best.available[1:]
	return task{job: best.job, index: i, stored: best.chunks[i]}, "", true
}

func (w *worklist) hasPriority(x, y *jobEntry) bool {
	if dx, dy := w.runningByTeam[x.job.Team], w.runningByTeam[y.job.Team]; dx != dy {
		return dx < dy
	}
	if !x.job.Deadline.Equal(y.job.Deadline) {
		return x.job.Deadline.Before(y.job.Deadline)
	}
	return x.job.ID < y.job.ID
}

// addRun records that a chunk runs here.
func (w *worklist) addRun(u *chunkRun) {
	w.jobs[u.job.ID].running[u.index] = u
	w.runningByTeam[u.job.Team]++
}

// removeRun records that a chunk no longer runs here. The job becomes stale if
// no other chunk is available or the job is no longer running, so that the
// next refresh can find the job complete.
func (w *worklist) removeRun(u *chunkRun) {
	e := w.jobs[u.job.ID]
	delete(e.running, u.index)
	w.runningByTeam[u.job.Team]--
	if w.runningByTeam[u.job.Team] == 0 {
		delete(w.runningByTeam, u.job.Team)
	}
	e.stale = e.stale || len(e.available) == 0 || e.job.State != job.Running
	if e.job.State.Terminal() && len(e.running) == 0 {
		delete(w.jobs, u.job.ID)
	}
}
