package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/quarantine"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	fingerprintPrefix = "print." // name prefix of the objects of suspects
	trialPrefix       = "trial." // name prefix of the objects that lock a suspect or an upstream for a trial
	releaseTimeout    = 2 * time.Second
	cleanupInterval   = time.Minute
)

// suspectRecord is the stored form of a suspect.
type suspectRecord struct {
	Level Level            `json:"level"`
	Owner membership.Owner `json:"owner"`
}

// trialRecord is the stored form of a lock on a suspect or an upstream.
type trialRecord struct {
	Owner membership.Owner `json:"owner"`
}

// Run watches the store and removes expired objects until ctx is done.
func (s *Suspects) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		runEvery(ctx, cleanupInterval, s.deleteExpired)
	}()
	objstore.ListAndWatch(ctx, s.store, objstore.KindSuspect, s.applySnapshot, s.applyEvent)
	<-done
}

func (s *Suspects) applySnapshot(objects []objstore.Object, _ int64) {
	for _, o := range objects {
		s.mergeObject(o)
	}
}

func (s *Suspects) applyEvent(e objstore.Event) {
	if e.Type == objstore.EventPut {
		s.mergeObject(e.Object)
		return
	}
	if p, ok := parseObjectName(e.Object.Name); ok && e.Type == objstore.EventDelete {
		s.forget(p)
	}
}

func (s *Suspects) mergeObject(o objstore.Object) {
	p, ok := parseObjectName(o.Name)
	var record suspectRecord
	if !ok || o.Decode(&record) != nil {
		return
	}
	s.Merge(Suspicion{Fingerprint: p, Level: record.Level, Since: time.Now()})
}

func (s *Suspects) forget(p Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, p)
}

func parseObjectName(name string) (Fingerprint, bool) {
	text, ok := strings.CutPrefix(name, fingerprintPrefix)
	if !ok {
		return Fingerprint{}, false
	}
	p, err := quarantine.ParseFingerprint(text)
	return p, err == nil
}

// writeLevel stores the level. It never lowers a stored level.
func (s *Suspects) writeLevel(ctx context.Context, p Fingerprint, v Level) {
	record := suspectRecord{Level: v, Owner: s.owner()}
	name := fingerprintPrefix + p.String()
	_, err := s.store.Create(ctx, objstore.KindSuspect, name, record)
	for errors.Is(err, objstore.ErrConflict) && v == Quarantined {
		var o objstore.Object
		if o, err = s.store.Get(ctx, objstore.KindSuspect, name); err == nil {
			_, err = s.store.Update(ctx, objstore.KindSuspect, name, o.Version, record)
		}
	}
	if err != nil && !errors.Is(err, objstore.ErrConflict) {
		s.log.WithError(err).WithField("event", "suspect_not_written").Warn("failed to store the suspect level; only the peers have it")
	}
}

// Clear removes the suspicion after the request ran successfully alone.
func (s *Suspects) Clear(ctx context.Context, p Fingerprint) {
	s.forget(p)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	s.removeObject(ctx, fingerprintPrefix+p.String(), func(objstore.Object) bool { return true })
}

// removeObject deletes an object if expected returns true for it.
func (s *Suspects) removeObject(ctx context.Context, name string, expected func(objstore.Object) bool) {
	o, err := s.store.Get(ctx, objstore.KindSuspect, name)
	if err == nil && expected(o) {
		err = s.store.Delete(ctx, objstore.KindSuspect, name, o.Version)
	}
	if err != nil && !errors.Is(err, objstore.ErrNotFound) {
		s.log.WithError(err).WithField("event", "suspect_not_removed").Debug("failed to remove a suspect object; a later cleanup removes it")
	}
}

func (s *Suspects) owner() membership.Owner {
	self := s.members.Self()
	return membership.Owner{Host: self.Name, Epoch: self.Epoch}
}

// AcquireTrial locks the suspect and the upstream for a trial in the whole fleet
// and returns the function that releases the locks. It returns
// objstore.ErrConflict if another trial holds one of the locks.
func (s *Suspects) AcquireTrial(ctx context.Context, p Fingerprint, id upstream.ID) (func(), error) {
	names := []string{trialPrefix + p.String(), trialPrefix + id.Service + "." + id.Name}
	var held []objstore.Object
	release := func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		for _, o := range held {
			_ = s.store.Delete(bounded, objstore.KindSuspect, o.Name, o.Version)
		}
	}
	for _, name := range names {
		o, err := s.acquire(ctx, name)
		if err != nil {
			release()
			return nil, err
		}
		held = append(held, o)
	}
	return release, nil
}

func (s *Suspects) acquire(ctx context.Context, name string) (objstore.Object, error) {
	o, err := s.store.Create(ctx, objstore.KindSuspect, name, trialRecord{Owner: s.owner()})
	if errors.Is(err, objstore.ErrConflict) {
		s.removeObject(ctx, name, s.holderLapsed)
	}
	return o, err
}

// holderLapsed reports whether the membership of the lock's holder has lapsed.
func (s *Suspects) holderLapsed(o objstore.Object) bool {
	var record trialRecord
	return o.Decode(&record) == nil && s.members.Lapsed(record.Owner)
}

// deleteExpired deletes the stored objects of suspects that this host regards as
// clear, if this host or a host whose membership has lapsed wrote them.
func (s *Suspects) deleteExpired(ctx context.Context) {
	objects, _, err := s.store.List(ctx, objstore.KindSuspect, fingerprintPrefix)
	if err != nil {
		return
	}
	for _, o := range objects {
		var record suspectRecord
		p, ok := parseObjectName(o.Name)
		if !ok || o.Decode(&record) != nil || s.State(p) != Clear {
			continue
		}
		if record.Owner.Host == s.members.Self().Name || s.members.Lapsed(record.Owner) {
			_ = s.store.Delete(ctx, objstore.KindSuspect, o.Name, o.Version)
		}
	}
}
