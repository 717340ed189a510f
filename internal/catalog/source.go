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
	syncBackoffMin = 50 * time.Millisecond
	syncBackoffMax = time.Second
	pollInterval   = 2 * time.Second // of a fleet of pollFleet hosts or fewer
	pollFleet      = 8
	staleCheck     = 250 * time.Millisecond
	staleAfterMin  = 3 * time.Second // a checkpoint that is not reached for so long asks for a new list
	staleAfterMax  = time.Minute
	outOfTouch     = 5 * time.Second // older knowledge is caught up with before it is used again
)

var followedKinds = append([]objstore.Kind{objstore.KindPointer}, objectKinds...)

// Source keeps a catalog up to date with the platform. It lists every kind,
// then watches; a watch that ends, or that falls behind what the store has
// reached, makes it start over with new connections.
type Source struct {
	store   objstore.Store
	catalog *Catalog
	site    string
	log     logrus.FieldLogger
	adopter *adopter
	folder  *Folder

	synced     atomic.Bool // listed from the platform, revision in force
	restored   atomic.Bool // state taken from the data folder
	fallback   atomic.Bool // may serve without the platform
	tried      atomic.Bool // the platform was asked once
	fleetSize  atomic.Int64
	staleAfter time.Duration // used by Run alone
	partial    bool          // the last sync was answered in part; used by Run alone
}

// NewSource returns a source for the site.
func NewSource(store objstore.Store, c *Catalog, site string, log logrus.FieldLogger) *Source {
	s := &Source{store: store, catalog: c, site: site, log: log, staleAfter: staleAfterMin}
	s.adopter = newAdopter(s)
	return s
}

// KeepIn makes the source keep the catalog in a data folder. Call it before Run.
func (s *Source) KeepIn(f *Folder) { s.folder = f }

// Run follows the platform until ctx is done.
func (s *Source) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if s.folder != nil {
		s.restore()
		wg.Go(func() { s.folder.run(ctx, s.catalog, s.log) })
	}
	wg.Go(func() { s.adopter.run(ctx) })
	wg.Go(func() { s.poll(ctx) })
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

// Ready reports whether the host knows enough to serve: from the platform, or,
// when that cannot be reached, from a peer or the data folder.
func (s *Source) Ready() bool { return s.synced.Load() || s.fallback.Load() }

// listing is the answer of one list.
type listing struct {
	objects []objstore.Object
	version int64
	err     error
}

// sync lists every kind and puts what is newer in force. It reports whether the
// platform answered.
func (s *Source) sync(ctx context.Context) bool {
	started := time.Now()
	age := s.catalog.Age(started)
	heard := s.catalog.heard()
	// A platform that answers in part again and again must not hold up what
	// the host can serve, so only a first contact does.
	catchingUp := age > outOfTouch && age != unknownAge && !s.partial
	hold := sync.OnceValue(s.catalog.catchUp.hold)
	listings := make([]listing, len(followedKinds))
	var wg sync.WaitGroup
	for i, kind := range followedKinds {
		wg.Go(func() {
			objects, version, err := s.store.List(ctx, kind, "")
			listings[i] = listing{objects, version, err}
			if err == nil && catchingUp {
				hold()
			}
		})
	}
	wg.Wait()
	if catchingUp {
		defer hold()()
	}
	s.tried.Store(true)
	if failed := countFailed(listings); failed > 0 {
		s.partial = failed < len(listings)
		s.log.WithFields(logrus.Fields{"event": "catalog_sync_failed", "lists": failed}).Debug("platform cannot be listed")
		return false
	}
	s.partial = false
	lowest := listings[0].version
	for i, kind := range followedKinds {
		s.reset(ctx, kind, listings[i])
		lowest = min(lowest, listings[i].version)
	}
	// A list that is older than what was heard of does not confirm anything.
	s.catalog.Hear(Checkpoint{Version: max(lowest, heard.Version), At: started})
	s.synced.Store(s.adopter.idle())
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

func (s *Source) reset(ctx context.Context, kind objstore.Kind, l listing) {
	if kind != objstore.KindPointer {
		s.catalog.replace(kind, l.objects, l.version, s.skipped)
		return
	}
	for _, o := range l.objects {
		s.point(o, l.version)
	}
	s.adopter.settle(ctx)
	if s.adopter.idle() {
		s.catalog.pointerAt(l.version)
	}
}

func (s *Source) skipped(err error) {
	s.log.WithError(err).WithField("event", "object_skipped").Error("object cannot be read")
}

// point takes note of the pointer.
func (s *Source) point(o objstore.Object, version int64) {
	var p Pointer
	if err := o.Decode(&p); err != nil {
		s.log.WithError(err).WithField("event", "config_pointer_invalid").Error("pointer cannot be read")
		return
	}
	s.adopter.want(p, version)
}

// watch follows every kind until one of the watches ends or is seen to be stale.
func (s *Source) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, kind := range followedKinds {
		wg.Go(func() {
			defer cancel()
			s.watchKind(ctx, kind)
		})
	}
	s.awaitStale(ctx)
	cancel()
	wg.Wait()
}

func (s *Source) watchKind(ctx context.Context, kind objstore.Kind) {
	w, err := s.store.Watch(ctx, kind, s.catalog.completeAt(kind))
	if err != nil {
		return
	}
	defer w.Close()
	for {
		e, err := w.Next()
		if err != nil {
			return
		}
		s.apply(kind, e)
	}
}

func (s *Source) apply(kind objstore.Kind, e objstore.Event) {
	switch {
	case kind != objstore.KindPointer:
		s.catalog.event(kind, e, s.skipped)
	case e.Type == objstore.EventPut:
		s.point(e.Object, e.Object.Version)
	case s.adopter.idle():
		s.catalog.pointerAt(e.Object.Version)
	}
	s.catalog.progress()
	if !s.synced.Load() {
		s.synced.Store(s.adopter.idle())
	}
}

// awaitStale returns when the host has long not reached what the store has. A
// platform whose bookmarks are rare looks the same; the wait then grows.
func (s *Source) awaitStale(ctx context.Context) {
	ticker := time.NewTicker(staleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.catalog.behind(time.Now()) < s.staleAfter {
			continue
		}
		before := s.catalog.digests()
		s.sync(ctx)
		if s.catalog.digests() != before {
			s.staleAfter = staleAfterMin
			s.log.WithField("event", "watch_stale").Warn("watch delivered nothing although the store has changed; it is opened again")
			return
		}
		s.staleAfter = min(2*s.staleAfter, staleAfterMax)
	}
}

// poll asks the platform now and then how far its store has come. The interval
// grows with the fleet, so that the calls of the whole fleet do not; peers pass
// on what they heard.
func (s *Source) poll(ctx context.Context) {
	for {
		interval := pollInterval * time.Duration(max(1, s.fleetSize.Load()/pollFleet))
		if !sleep(ctx, interval/2+rand.N(interval)) {
			return
		}
		sent := time.Now()
		objects, version, err := s.store.List(ctx, objstore.KindPointer, PointerName)
		if err != nil {
			continue
		}
		s.catalog.Hear(Checkpoint{Version: version, At: sent})
		for _, o := range objects {
			if o.Name == PointerName {
				s.point(o, 0)
			}
		}
	}
}

// AdoptRevision renders a revision for this site and puts it in force. It
// reports whether the revision, or a later one, is in force now.
func (s *Source) AdoptRevision(revision config.Revision) bool {
	current := s.catalog.Current().Revision
	if revision.Number <= current {
		return true
	}
	doc, err := revision.Bundle.Document(s.site)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "config_render_failed", "revision": revision.Number}).
			Error("revision cannot be rendered; this host keeps the one before")
		return false
	}
	if s.catalog.Adopt(revision.Number, doc.Fleet) {
		s.catalog.keep(revision)
		s.log.WithFields(logrus.Fields{"event": "config_in_force", "revision": revision.Number}).Info("configuration is in force")
	}
	return true
}

// MergeState takes over what is newer in another host's or a stored state.
func (s *Source) MergeState(state State) {
	s.catalog.merge(state)
	if state.Revision == nil || s.AdoptRevision(*state.Revision) {
		s.catalog.pointerAt(state.Contents.Complete[objstore.KindPointer])
	}
	s.catalog.progress()
}

func (s *Source) restore() {
	state, err := s.folder.Load()
	if err != nil {
		s.log.WithError(err).WithField("event", "catalog_restore_failed").Warn("the data folder's copy is not used")
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
