package batch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/membership"
)

// sweepInterval is the time after which the host that looks after a job reads
// its chunks again, even when nothing has called for it.
const sweepInterval = 30 * time.Second

// entry is what this host knows of one unfinished job.
type entry struct {
	job     job.Job
	home    bool // this host looks after the job
	stale   bool // the chunks are to be read again
	listed  time.Time
	chunks  map[int]job.StoredChunk
	open    []int // chunks that seem free, in the order in which to take them
	running map[int]*run
}

// board is the unfinished jobs that this host knows, with the chunks that it
// runs. It does no I/O; its owner guards it.
type worklist struct {
	self    membership.Owner
	members []membership.Host
	jobs    map[string]*entry
	load    map[string]int // running chunks of each team
}

func newWorklist() *worklist {
	return &worklist{jobs: map[string]*entry{}, load: map[string]int{}}
}

// note takes over a job's state and returns its entry, or nil when it has ended
// and nothing of it runs here.
func (b *worklist) note(j job.Job) *entry {
	e, known := b.jobs[j.ID]
	if !known && j.State.Terminal() {
		return nil
	}
	if !known {
		e = &entry{running: map[int]*run{}, home: b.isHome(j.ID)}
		b.jobs[j.ID] = e
	}
	changed := known && e.job.State != j.State
	e.job = j
	e.stale = e.stale || changed
	if j.State.Terminal() && len(e.running) == 0 {
		delete(b.jobs, j.ID)
	}
	return e
}

// drop forgets a job that is no longer among the running ones. It has ended, so
// that what still runs of it here has lost its chunk.
func (b *worklist) drop(id string) {
	e, known := b.jobs[id]
	if !known {
		return
	}
	if len(e.running) == 0 {
		delete(b.jobs, id)
		return
	}
	e.job.State = job.Completed
	for _, u := range e.running {
		u.cancel()
	}
}

// setMembers takes over the members of the fleet. When they change, the jobs that
// this host looks after are read again, for chunks whose owners are gone.
func (b *worklist) setMembers(self membership.Owner, members []membership.Host) {
	same := func(x, y membership.Host) bool { return x.Name == y.Name && x.Epoch == y.Epoch }
	if self == b.self && slices.EqualFunc(members, b.members, same) {
		return
	}
	b.self, b.members = self, members
	for id, e := range b.jobs {
		e.home = b.isHome(id)
		e.stale = e.stale || e.home
	}
}

// isHome reports whether this host looks after the job: every host finds the
// same one among the same members.
func (b *worklist) isHome(id string) bool {
	best, home := uint64(0), true
	for _, m := range b.members {
		if score := xxhash.Sum64String(id + "\x00" + m.Name); score >= best {
			best, home = score, m.Name == b.self.Host
		}
	}
	return home
}

// due returns the jobs whose chunks are to be read again.
func (b *worklist) due(now time.Time) []string {
	var ids []string
	for id, e := range b.jobs {
		swept := e.home && now.Sub(e.listed) > sweepInterval
		if e.stale || swept {
			ids = append(ids, id)
		}
	}
	return ids
}

// list takes over the chunks of a job that were read.
func (b *worklist) list(id string, now time.Time, chunks map[int]job.StoredChunk, lapsed func(membership.Owner) bool) {
	e, known := b.jobs[id]
	if !known {
		return
	}
	e.chunks, e.listed, e.stale, e.open = chunks, now, false, nil
	total := len(e.job.Lines)
	offset := b.offset(total)
	for n := range total {
		i := (offset + n) % total
		if e.running[i] == nil && b.free(chunks, i, lapsed) {
			e.open = append(e.open, i)
		}
	}
}

func (b *worklist) free(chunks map[int]job.StoredChunk, i int, lapsed func(membership.Owner) bool) bool {
	c, claimed := chunks[i]
	if !claimed {
		return true
	}
	return !c.Done() && (c.IsUnowned() || c.Owner == b.self || lapsed(c.Owner))
}

// offset spreads the hosts over a job's chunks, so that they seldom meet.
func (b *worklist) offset(total int) int {
	for rank, m := range b.members {
		if m.Name == b.self.Host {
			return rank * total / len(b.members)
		}
	}
	return 0
}

// task is a chunk to be run.
type task struct {
	job    job.Job
	index  int
	stored job.StoredChunk
}

// next returns the chunk to run next: of the team with the fewest chunks that
// run here, the job with the earliest deadline. Where the choice falls on a job
// whose chunks were never read, it returns the job's id alone.
func (b *worklist) next() (t task, unread string, ok bool) {
	var best *entry
	for _, e := range b.jobs {
		runnable := e.job.State == job.Running && (e.listed.IsZero() || len(e.open) > 0)
		if runnable && (best == nil || b.before(e, best)) {
			best = e
		}
	}
	if best == nil {
		return task{}, "", false
	}
	if best.listed.IsZero() {
		return task{}, best.job.ID, true
	}
	i := best.open[0]
	best.open = best.open[1:]
	return task{job: best.job, index: i, stored: best.chunks[i]}, "", true
}

func (b *worklist) before(x, y *entry) bool {
	if dx, dy := b.load[x.job.Team], b.load[y.job.Team]; dx != dy {
		return dx < dy
	}
	if !x.job.Deadline.Equal(y.job.Deadline) {
		return x.job.Deadline.Before(y.job.Deadline)
	}
	return x.job.ID < y.job.ID
}

// start notes that a chunk runs here.
func (b *worklist) start(u *run) {
	b.jobs[u.job.ID].running[u.index] = u
	b.load[u.job.Team]++
}

// end notes that a chunk no longer runs here. The job is read again when
// nothing more of it is known to be free, which also finds that it can end.
func (b *worklist) end(u *run) {
	e := b.jobs[u.job.ID]
	delete(e.running, u.index)
	b.load[u.job.Team]--
	if b.load[u.job.Team] == 0 {
		delete(b.load, u.job.Team)
	}
	e.stale = e.stale || len(e.open) == 0 || e.job.State != job.Running
	if e.job.State.Terminal() && len(e.running) == 0 {
		delete(b.jobs, u.job.ID)
	}
}
