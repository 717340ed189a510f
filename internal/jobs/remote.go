package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

// remoteJob is a cache entry for a job that another host owns.
type remoteJob struct {
	id          string
	record      record
	bytes       int64 // memory of the items
	sequence    int64 // in the cache; the oldest has the lowest
	owner       string
	mu          sync.Mutex // guards results and nextSegment, also while segments are being read
	results     []Result   // stored results read so far
	nextSegment int        // number of the next segment to read
}

func newRemoteJob(id string, rec record, owner string) *remoteJob {
	return &remoteJob{id: id, record: rec, bytes: rec.bytes(), owner: owner}
}

// findRemote returns a job that another host owns, from the cache or the store.
func (r *Runner) findRemote(ctx context.Context, id string) (*remoteJob, error) {
	r.mu.Lock()
	m, known := r.remote.get(id)
	r.mu.Unlock()
	if known {
		return m, nil
	}
	rec, err := r.loadJob(ctx, id)
	if err != nil {
		return nil, err
	}
	m = newRemoteJob(id, rec, rec.AcceptedBy)
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, known := r.remote.get(id); known {
		return other, nil
	}
	r.remote.put(m)
	return m, nil
}

func (r *Runner) ownerOf(m *remoteJob) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return m.owner
}

// peerAddress returns the address of a live peer.
func (r *Runner) peerAddress(host string) (string, bool) {
	s, live := r.core.Peers()[host]
	return s.Address, live
}

// readRemote reads results from the cache, the owner or the store, in this order.
// If the cached owner no longer runs the job, the current owner is tried last.
func (r *Runner) readRemote(ctx context.Context, m *remoteJob, after int, wait time.Duration) (Page, error) {
	if page, ok := m.cachedPage(after); ok {
		return page, nil
	}
	page, err := r.readFromOwner(ctx, m, after, wait)
	if err == nil {
		return page, nil
	}
	unknown := errors.Is(err, mesh.ErrUnknownJob)
	page, err = r.readFromStore(ctx, m, after)
	if err != nil || len(page.Results) > 0 || after >= page.Total || !unknown || !r.refreshOwner(ctx, m) {
		return page, err
	}
	if retried, err := r.readFromOwner(ctx, m, after, wait); err == nil {
		return retried, nil
	}
	return page, nil
}

// readFromOwner reads results from the cached owner of the job.
func (r *Runner) readFromOwner(ctx context.Context, m *remoteJob, after int, wait time.Duration) (Page, error) {
	owner := r.ownerOf(m)
	address, live := r.peerAddress(owner)
	if !live {
		return Page{}, errors.Errorf("host %q is unresponsive", owner)
	}
	return r.readFromPeer(ctx, address, m.id, m.record.Team, after, wait)
}

// readFromPeer reads results from the host at the address, and logs why they can't be read
// there unless the host doesn't run the job.
func (r *Runner) readFromPeer(ctx context.Context, address, id, team string, after int, wait time.Duration) (Page, error) {
	total, results, err := r.peers.ReadResults(ctx, address, id, team, after, wait)
	if err != nil && !errors.Is(err, mesh.ErrUnknownJob) {
		r.log.WithFields(logrus.Fields{"event": "results_not_relayed", "job": id, "address": address, "error": err}).Info("the owner of a job didn't return its results; reading them from the store")
	}
	return pageFromPeer(total, results), err
}

// cachedPage returns the cached results from the position on and reports whether
// there are any.
func (m *remoteJob) cachedPage(after int) (Page, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pageAt(m.record.Total, m.results, after), after < len(m.results)
}

// readFromAnnouncer reads results from the host that announces the job.
func (r *Runner) readFromAnnouncer(ctx context.Context, id, team string, after int, wait time.Duration) (Page, bool) {
	address, announced := r.core.JobOwner(id)
	if !announced {
		return Page{}, false
	}
	page, err := r.readFromPeer(ctx, address, id, team, after, wait)
	return page, err == nil
}

func pageFromPeer(total int, results []mesh.Result) Page {
	page := Page{Total: total}
	for _, x := range results {
		page.Results = append(page.Results, Result(x))
	}
	return page
}

// refreshOwner reads the owner from the store and reports whether it changed.
func (r *Runner) refreshOwner(ctx context.Context, m *remoteJob) bool {
	s, _, err := readState(ctx, r.store.Get, m.id, m.record.AcceptedBy)
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "owner_not_read", "job": m.id, "error": err}).Info("the current owner of a job can't be read from the store")
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Owner == m.owner {
		return false
	}
	m.owner = s.Owner
	return true
}

// readFromStore reads segments from the store up to the position.
func (r *Runner) readFromStore(ctx context.Context, m *remoteJob, after int) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.results) <= after && len(m.results) < m.record.Total {
		s, err := r.readSegment(ctx, m.id, m.nextSegment)
		if errors.Is(err, objstore.ErrNotFound) {
			break
		}
		if err != nil {
			return Page{}, err
		}
		m.results = append(m.results, s.Results...)
		m.nextSegment++
	}
	return pageAt(m.record.Total, m.results, after), nil
}
