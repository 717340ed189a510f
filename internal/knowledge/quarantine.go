package knowledge

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/quarantine"
)

// KindQuarantine is the kind of the quarantined requests' objects in the store. Each is
// named after the request's fingerprint.
const KindQuarantine objstore.Kind = "fleet-quarantine"

const (
	quarantineInterval = 250 * time.Millisecond // between comparisons with the core, which cost no call
	quarantineRetry    = 10 * time.Second       // after a failed call; peers have the quarantine too
)

// quarantineEntry is the value of a quarantined request's object.
type quarantineEntry struct {
	Crashes []crashEntry `json:"crashes"`
}

// crashEntry is the stored form of a quarantine.Crash.
type crashEntry struct {
	Upstream  string `json:"upstream"`
	StartedMS int64  `json:"started_ms"`
	AtMS      int64  `json:"at_ms"` // Unix time
	Observed  int    `json:"observed"`
	Withdrawn int    `json:"withdrawn"`
	Isolated  bool   `json:"isolated"`
	Completed bool   `json:"completed"`
	Unproven  bool   `json:"unproven"`
	Late      bool   `json:"late"`
}

func newQuarantineEntry(crashes []quarantine.Crash) quarantineEntry {
	var e quarantineEntry
	for _, x := range crashes {
		e.Crashes = append(e.Crashes, crashEntry{
			Upstream: x.Upstream.ID, StartedMS: x.Upstream.StartedMS, AtMS: x.At.UnixMilli(),
			Observed: x.Observed, Withdrawn: x.Withdrawn, Isolated: x.Isolated, Completed: x.Completed, Unproven: x.Unproven, Late: x.Late,
		})
	}
	return e
}

func (e quarantineEntry) crashes(f quarantine.Fingerprint) []quarantine.Crash {
	var crashes []quarantine.Crash
	for _, x := range e.Crashes {
		crashes = append(crashes, quarantine.Crash{
			Fingerprint: f, Upstream: quarantine.Instance{ID: x.Upstream, StartedMS: x.StartedMS}, At: time.UnixMilli(x.AtMS),
			Observed: x.Observed, Withdrawn: x.Withdrawn, Isolated: x.Isolated, Completed: x.Completed, Unproven: x.Unproven, Late: x.Late,
		})
	}
	return crashes
}

// quarantineLoop reads the stored quarantine once, and stores the changes that this host
// has decided. Hosts tell each other of changes; the store is for a restart of all.
func (s *Syncer) quarantineLoop(ctx context.Context) {
	var stored map[quarantine.Fingerprint]int64
	for {
		var err error
		stored, err = s.syncQuarantine(ctx, stored)
		wait := quarantineInterval
		if err != nil {
			wait = quarantineRetry
			s.log.WithFields(logrus.Fields{"event": "quarantine_not_synced", "error": err}).Warn("quarantined requests can't be read from or written to the store; retrying")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// syncQuarantine reads the stored quarantine if stored is nil, and then stores the
// changes. It returns the versions of the stored objects.
func (s *Syncer) syncQuarantine(ctx context.Context, stored map[quarantine.Fingerprint]int64) (map[quarantine.Fingerprint]int64, error) {
	if stored == nil {
		restored, err := s.restoreQuarantine(ctx)
		if err != nil {
			return nil, err
		}
		stored = restored
	}
	return stored, s.storeQuarantine(ctx, stored)
}

// restoreQuarantine passes the stored crashes to the core and returns the versions of the
// objects.
func (s *Syncer) restoreQuarantine(ctx context.Context) (map[quarantine.Fingerprint]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, _, err := s.store.List(ctx, KindQuarantine, "")
	if err != nil {
		return nil, err
	}
	stored := map[quarantine.Fingerprint]int64{}
	for _, o := range objects {
		f, err := quarantine.ParseFingerprint(o.Name)
		var e quarantineEntry
		if err == nil {
			err = o.Decode(&e)
		}
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "quarantine_unreadable", "name": o.Name, "error": err}).Warn("skipping a stored quarantine that can't be decoded")
			continue
		}
		s.core.RestoreCrashes(e.crashes(f))
		stored[f] = o.Version
	}
	return stored, nil
}

// storeQuarantine creates the objects of requests that this host has quarantined, and
// deletes those of requests that no longer are. It updates stored.
func (s *Syncer) storeQuarantine(ctx context.Context, stored map[quarantine.Fingerprint]int64) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	for f, crashes := range s.core.QuarantinedHere() {
		if _, known := stored[f]; known {
			continue
		}
		o, err := s.store.Create(ctx, KindQuarantine, f.String(), newQuarantineEntry(crashes))
		if errors.Is(err, objstore.ErrConflict) { // another host has seen a crash of the request too
			o, err = s.store.Get(ctx, KindQuarantine, f.String())
		}
		if err != nil {
			return err
		}
		stored[f] = o.Version
	}
	for f, version := range stored {
		if s.core.Suspicion(f) == quarantine.Quarantined {
			continue
		}
		err := s.store.Delete(ctx, KindQuarantine, f.String(), version)
		if err != nil && !errors.Is(err, objstore.ErrNotFound) && !errors.Is(err, objstore.ErrConflict) {
			return err
		}
		delete(stored, f)
	}
	return nil
}
