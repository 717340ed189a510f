package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	syncBackoffMin     = 50 * time.Millisecond
	syncBackoffMax     = time.Second
	pollInterval       = 2 * time.Second // of a fleet of up to pollFleetSize hosts
	pollFleetSize      = 8
	staleCheckInterval = 250 * time.Millisecond
	staleAfterMin      = 3 * time.Second // a checkpoint that is not reached for this long triggers a new list
	staleAfterMax      = time.Minute
	catchUpThreshold   = 5 * time.Second // after a loss of contact, a state older than this is updated before requests use it
)

var watchedKinds = append([]objstore.Kind{objstore.KindPointer}, objectKinds...)

// Syncer keeps a catalog up to date with the platform. It lists every kind and
// then watches it. When a watch ends, or falls behind the version that the store
// has reached, the syncer starts over with new connections.
type Syncer struct {
	store     objstore.Store
	catalog   *Catalog
	site      string
	log       logrus.FieldLogger
	loader    *revisionLoader
	stateFile *StateFile

	synced        atomic.Bool // all kinds listed from the platform, and the revision in force
	restored      atomic.Bool // state loaded from the data folder
	fallback      atomic.Bool // may serve without the platform
	syncAttempted atomic.Bool // the platform was listed at least once, also without success
	fleetSize     atomic.Int64
	staleAfter    time.Duration // used only by Run
	partial       bool          // only some lists of the last sync succeeded; used only by Run
}

// NewSyncer returns a syncer for the site.
func NewSyncer(store objstore.Store, c *Catalog, site string, log logrus.FieldLogger) *Syncer {
	s := &Syncer{store: store, catalog: c, site: site, log: log, staleAfter: staleAfterMin}
	s.loader = newRevisionLoader(s)
	return s
}

// PersistTo makes Run restore the catalog from a file and save it there. Call it
// before Run.
func (s *Syncer) PersistTo(f *StateFile) { s.stateFile = f }

// Run syncs with the platform until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if s.stateFile != nil {
		s.restore()
		wg.Go(func() { s.stateFile.run(ctx, s.catalog, s.log) })
	}
	wg.Go(func() { s.loader.run(ctx) })
	wg.Go(func() { s.pollVersion(ctx) })
	backoff := syncBackoffMin
	for ctx.Err() == nil {
		if s.sync(ctx) {
			started := time.Now()
			s.watch(ctx)
			if time.Since(started) > syncBackoffMax {
				backoff = syncBackoffMin
			}
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, syncBackoffMax)
	}
	wg.Wait()
}

// Ready reports whether the host has a state to serve from: that of the platform
// or, while that is unavailable, of a peer or the data folder.
func (s *Syncer) Ready() bool { return s.synced.Load() || s.fallback.Load() }

// listing is the result of listing one kind.
type listing struct {
	objects []objstore.Object
	version int64
	err     error
}

// sync lists every kind and applies what is newer. It reports whether all lists
// succeeded.
func (s *Syncer) sync(ctx context.Context) bool {
	started := time.Now()
	age := s.catalog.Age(started)
	latest := s.catalog.latestCheckpoint()
	// Only a first contact holds requests: a platform on which some lists fail
	// repeatedly must not block what the host can serve.
	catchingUp := age > catchUpThreshold && age != unknownAge && !s.partial
	closeGate := sync.OnceValue(s.catalog.catchUpGate.close)
	listings := make([]listing, len(watchedKinds))
	var wg sync.WaitGroup
	for i, kind := range watchedKinds {
		wg.Go(func() {
			objects, version, err := s.store.List(ctx, kind, "")
			listings[i] = listing{objects, version, err}
			if err == nil && catchingUp {
				closeGate()
			}
		})
	}
	wg.Wait()
	if catchingUp {
		defer closeGate()()
	}
	s.syncAttempted.Store(true)
	if failed := countFailed(listings); failed > 0 {
		s.partial = failed < len(listings)
		s.log.WithFields(logrus.Fields{"event": "catalog_sync_failed", "lists": failed}).Debug("cannot list the objects of the platform")
		return false
	}
	s.partial = false
	lowest := listings[0].version
	for i, kind := range watchedKinds {
		s.applyListing(ctx, kind, listings[i])
		lowest = min(lowest, listings[i].version)
	}
	// A list that is older than the latest checkpoint does not confirm anything.
	s.catalog.RecordCheckpoint(Checkpoint{Version: max(lowest, latest.Version), At: started})
	s.synced.Store(s.loader.upToDate())
	return true
}

func countFailed(listings []listing) int {
	failed := 0
	for _, l := range listings {
		if l.err != nil {
			failed++
		}
	}
	return failed
}

func (s *Syncer) applyListing(ctx context.Context, kind objstore.Kind, l listing) {
	if kind != objstore.KindPointer {
		s.catalog.replaceKind(kind, l.objects, l.version, s.logInvalidObject)
		return
	}
	for _, o := range l.objects {
		s.applyPointer(o, l.version)
	}
	s.loader.tryLoad(ctx)
	if s.loader.upToDate() {
		s.catalog.advancePointer(l.version)
	}
}

func (s *Syncer) logInvalidObject(err error) {
	s.log.WithError(err).WithField("event", "object_skipped").Error("ignoring an invalid object")
}

// applyPointer requests the revision that the pointer object names.
func (s *Syncer) applyPointer(o objstore.Object, version int64) {
	var p Pointer
	if err := o.Decode(&p); err != nil {
		s.log.WithError(err).WithField("event", "config_pointer_invalid").Error("ignoring an invalid configuration pointer")
		return
	}
	s.loader.request(p, version)
}

// watch watches every kind until a watch ends or is found to be stale.
func (s *Syncer) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, kind := range watchedKinds {
		wg.Go(func() {
			defer cancel()
			s.watchKind(ctx, kind)
		})
	}
	s.waitUntilStale(ctx)
	cancel()
	wg.Wait()
}

func (s *Syncer) watchKind(ctx context.Context, kind objstore.Kind) {
	w, err := s.store.Watch(ctx, kind, s.catalog.completeVersion(kind))
	if err != nil {
		return
	}
	defer w.Close()
	for {
		e, err := w.Next()
		if err != nil {
			return
		}
		s.applyEvent(kind, e)
	}
}

func (s *Syncer) applyEvent(kind objstore.Kind, e objstore.Event) {
	switch {
	case kind != objstore.KindPointer:
		s.catalog.applyEvent(kind, e, s.logInvalidObject)
	case e.Type == objstore.EventPut:
		s.applyPointer(e.Object, e.Object.Version)
	case s.loader.upToDate():
		s.catalog.advancePointer(e.Object.Version)
	}
	s.catalog.confirmReached()
	if !s.synced.Load() {
		s.synced.Store(s.loader.upToDate())
	}
}

// waitUntilStale returns when a checkpoint has not been reached for staleAfter and a
// new list shows changes that the watches did not deliver. If it shows none, the
// platform's bookmarks are merely rare, and staleAfter is doubled.
func (s *Syncer) waitUntilStale(ctx context.Context) {
	ticker := time.NewTicker(staleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.catalog.lag(time.Now()) < s.staleAfter {
			continue
		}
		before := s.catalog.contentDigest()
		s.sync(ctx)
		if s.catalog.contentDigest() != before {
			s.staleAfter = staleAfterMin
			s.log.WithField("event", "watch_stale").Warn("watch delivered nothing although the store has changed; reopening it")
			return
		}
		s.staleAfter = min(2*s.staleAfter, staleAfterMax)
	}
}

// pollVersion periodically reads the version that the store has reached. The
// interval grows with the fleet, so that the fleet's total call rate does not. Peers
// pass on the checkpoints.
func (s *Syncer) pollVersion(ctx context.Context) {
	for {
		interval := pollInterval * time.Duration(max(1, s.fleetSize.Load()/pollFleetSize))
		if !sleep(ctx, interval/2+rand.N(interval)) {
			return
		}
		sent := time.Now()
		objects, version, err := s.store.List(ctx, objstore.KindPointer, PointerName)
		if err != nil {
			continue
		}
		s.catalog.RecordCheckpoint(Checkpoint{Version: version, At: sent})
		for _, o := range objects {
			if o.Name == PointerName {
				s.applyPointer(o, 0)
			}
		}
	}
}

// ApplyRevision renders a revision for this site and puts it in force. It reports
// whether the revision or a later one is in force now.
func (s *Syncer) ApplyRevision(revision config.Revision) bool {
	current := s.catalog.Current().Revision
	if revision.Number <= current {
		return true
	}
	doc, err := revision.Bundle.Document(s.site)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "config_render_failed", "revision": revision.Number}).
			Error("cannot render the configuration revision; the previous one stays in force")
		return false
	}
	if s.catalog.ApplyConfig(revision.Number, doc.Fleet) {
		s.catalog.setAccepted(revision)
		s.log.WithFields(logrus.Fields{"event": "config_in_force", "revision": revision.Number}).Info("configuration is in force")
	}
	return true
}

// MergeState applies what is newer in the state of a peer or of the data folder.
func (s *Syncer) MergeState(state State) {
	s.catalog.mergeState(state)
	if state.Revision == nil || s.ApplyRevision(*state.Revision) {
		s.catalog.advancePointer(state.Versions.Complete[objstore.KindPointer])
	}
	s.catalog.confirmReached()
}

func (s *Syncer) restore() {
	state, err := s.stateFile.Load()
	if err != nil {
		s.log.WithError(err).WithField("event", "catalog_restore_failed").Warn("cannot load the catalog from the data folder")
		return
	}
	if state == nil {
		return
	}
	s.catalog.restoreAge(state.Confirmed, time.Now())
	s.MergeState(*state)
	s.restored.Store(true)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
