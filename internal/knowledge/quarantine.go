package knowledge

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/quarantine"
)

// Kinds of the objects in the store that hold what is quarantined. A request's is named after
// its fingerprint, that of a part of a prompt after the part's ID.
const (
	KindQuarantine      objstore.Kind = "fleet-quarantine"
	KindQuarantinedPart objstore.Kind = "fleet-quarantined-parts"
)

const (
	quarantineInterval     = 250 * time.Millisecond // between comparisons with the core, which cost no call
	quarantineRestoreRetry = time.Second            // after a failed restore; requests may run until then that must not
	quarantineRetry        = 10 * time.Second       // after another failed call; peers have the quarantine too
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

// quarantinedPartEntry is the value of the object of a quarantined part of a prompt.
type quarantinedPartEntry struct {
	Crashes []partCrashEntry `json:"crashes"`
}

// partCrashEntry is the stored form of a quarantine.PartCrash.
type partCrashEntry struct {
	Upstream  string   `json:"upstream"`
	StartedMS int64    `json:"started_ms"`
	AtMS      int64    `json:"at_ms"`   // Unix time
	SentMS    int64    `json:"sent_ms"` // Unix time
	Depth     int      `json:"depth"`
	Contents  []string `json:"contents,omitempty"`
	Teams     []string `json:"teams,omitempty"`
	Withdrawn bool     `json:"withdrawn"`
	Answered  bool     `json:"answered"`
	Unproven  bool     `json:"unproven"`
}

func newQuarantinedPartEntry(crashes []quarantine.PartCrash) quarantinedPartEntry {
	var e quarantinedPartEntry
	for _, x := range crashes {
		entry := partCrashEntry{
			Upstream: x.Upstream.ID, StartedMS: x.Upstream.StartedMS, AtMS: x.At.UnixMilli(), SentMS: x.Sent.UnixMilli(),
			Depth: x.Depth, Teams: x.Teams, Withdrawn: x.Withdrawn, Answered: x.Answered, Unproven: x.Unproven,
		}
		for _, f := range x.Contents {
			entry.Contents = append(entry.Contents, f.String())
		}
		e.Crashes = append(e.Crashes, entry)
	}
	return e
}

// crashes returns the crashes of the part, or an error if a fingerprint can't be read.
func (e quarantinedPartEntry) crashes(part string) ([]quarantine.PartCrash, error) {
	var crashes []quarantine.PartCrash
	for _, x := range e.Crashes {
		crash := quarantine.PartCrash{
			Part: part, Upstream: quarantine.Instance{ID: x.Upstream, StartedMS: x.StartedMS}, At: time.UnixMilli(x.AtMS), Sent: time.UnixMilli(x.SentMS),
			Depth: x.Depth, Teams: x.Teams, Withdrawn: x.Withdrawn, Answered: x.Answered, Unproven: x.Unproven,
		}
		for _, text := range x.Contents {
			f, err := quarantine.ParseFingerprint(text)
			if err != nil {
				return nil, err
			}
			crash.Contents = append(crash.Contents, f)
		}
		crashes = append(crashes, crash)
	}
	return crashes, nil
}

// quarantinedObject is what this host has quarantined, to be stored.
type quarantinedObject struct {
	value   any
	crashes int
}

// quarantineKind connects the objects of a kind to the core.
type quarantineKind struct {
	kind          objstore.Kind
	restore       func(o objstore.Object) error // passes the stored crashes to the core
	current       func() map[string]quarantinedObject
	isQuarantined func(name string) bool
	restored      func() // all stored crashes were passed to the core
}

func (s *Syncer) requestQuarantine() quarantineKind {
	return quarantineKind{
		kind: KindQuarantine,
		restore: func(o objstore.Object) error {
			f, err := quarantine.ParseFingerprint(o.Name)
			if err != nil {
				return err
			}
			var e quarantineEntry
			if err := o.Decode(&e); err != nil {
				return err
			}
			s.core.RestoreCrashes(e.crashes(f))
			return nil
		},
		current: func() map[string]quarantinedObject {
			objects := map[string]quarantinedObject{}
			for f, crashes := range s.core.QuarantinedHere() {
				objects[f.String()] = quarantinedObject{value: newQuarantineEntry(crashes)}
			}
			return objects
		},
		isQuarantined: func(name string) bool {
			f, err := quarantine.ParseFingerprint(name)
			return err == nil && s.core.Suspicion(f) == quarantine.Quarantined
		},
		restored: func() {},
	}
}

func (s *Syncer) partQuarantine() quarantineKind {
	return quarantineKind{
		kind: KindQuarantinedPart,
		restore: func(o objstore.Object) error {
			var e quarantinedPartEntry
			if err := o.Decode(&e); err != nil {
				return err
			}
			crashes, err := e.crashes(o.Name)
			if err == nil {
				s.core.RestorePartCrashes(crashes)
			}
			return err
		},
		current: func() map[string]quarantinedObject {
			objects := map[string]quarantinedObject{}
			for part, crashes := range s.core.QuarantinedPartsHere() {
				objects[part] = quarantinedObject{newQuarantinedPartEntry(crashes), len(crashes)}
			}
			return objects
		},
		isQuarantined: s.core.IsPartQuarantined,
		restored:      s.core.PartCrashesRestored,
	}
}

// storedQuarantine is an object as this host knows it.
type storedQuarantine struct {
	version int64
	crashes int // when this host last wrote it, or zero
}

// quarantineLoop reads what is stored of a kind once, and stores the changes that this host
// has decided. Hosts tell each other of changes; the store is for a restart of all.
func (s *Syncer) quarantineLoop(ctx context.Context, kind quarantineKind) {
	var stored map[string]storedQuarantine
	for {
		var err error
		stored, err = s.syncQuarantine(ctx, kind, stored)
		wait := quarantineInterval
		if err != nil {
			wait = quarantineRetry
			if stored == nil {
				wait = quarantineRestoreRetry
			}
			s.log.WithFields(logrus.Fields{"event": "quarantine_not_synced", "kind": kind.kind, "error": err}).Warn("what is quarantined can't be read from or written to the store; retrying")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// syncQuarantine reads the stored objects if stored is nil, and then stores the changes. It
// returns the stored objects by name.
func (s *Syncer) syncQuarantine(ctx context.Context, kind quarantineKind, stored map[string]storedQuarantine) (map[string]storedQuarantine, error) {
	if stored == nil {
		restored, err := s.restoreQuarantine(ctx, kind)
		if err != nil {
			return nil, err
		}
		stored = restored
		kind.restored()
	}
	return stored, s.storeQuarantine(ctx, kind, stored)
}

// restoreQuarantine passes the stored crashes to the core and returns the objects by name.
func (s *Syncer) restoreQuarantine(ctx context.Context, kind quarantineKind) (map[string]storedQuarantine, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, _, err := s.store.List(ctx, kind.kind, "")
	if err != nil {
		return nil, err
	}
	stored := map[string]storedQuarantine{}
	for _, o := range objects {
		if err := kind.restore(o); err != nil {
			s.log.WithFields(logrus.Fields{"event": "quarantine_unreadable", "kind": kind.kind, "name": o.Name, "error": err}).Warn("skipping a stored quarantine that can't be decoded")
			continue
		}
		stored[o.Name] = storedQuarantine{version: o.Version}
	}
	return stored, nil
}

// storeQuarantine writes the objects of what this host has quarantined, and deletes those of
// what no longer is. It updates stored.
func (s *Syncer) storeQuarantine(ctx context.Context, kind quarantineKind, stored map[string]storedQuarantine) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	for name, object := range kind.current() {
		if known, exists := stored[name]; exists && known.crashes >= object.crashes {
			continue
		}
		o, err := s.writeQuarantine(ctx, kind.kind, name, object, stored[name].version)
		if err != nil {
			return err
		}
		stored[name] = storedQuarantine{o.Version, object.crashes}
	}
	for name, known := range stored {
		if kind.isQuarantined(name) {
			continue
		}
		err := s.store.Delete(ctx, kind.kind, name, known.version)
		if err != nil && !errors.Is(err, objstore.ErrNotFound) && !errors.Is(err, objstore.ErrConflict) {
			return err
		}
		delete(stored, name)
	}
	return nil
}

// writeQuarantine creates the object, or replaces its version if that isn't zero. If another
// host was faster, its object stays.
func (s *Syncer) writeQuarantine(ctx context.Context, kind objstore.Kind, name string, object quarantinedObject, version int64) (objstore.Object, error) {
	var o objstore.Object
	var err error
	if version == 0 {
		o, err = s.store.Create(ctx, kind, name, object.value)
	} else {
		o, err = s.store.Update(ctx, kind, name, version, object.value)
	}
	if errors.Is(err, objstore.ErrConflict) {
		return s.store.Get(ctx, kind, name)
	}
	if errors.Is(err, objstore.ErrNotFound) { // another host has deleted it
		return s.store.Create(ctx, kind, name, object.value)
	}
	return o, err
}
