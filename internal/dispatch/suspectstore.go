package dispatch

import (
	"context"
	"encoding/hex"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	printPrefix     = "print." // objects of suspects
	trialPrefix     = "trial." // objects that hold a suspect or an upstream for a trial
	releaseBound    = 2 * time.Second
	cleanupInterval = time.Minute
)

// suspectRecord is a suspect as the platform keeps it.
type suspectRecord struct {
	Level Level            `json:"level"`
	Owner membership.Owner `json:"owner"`
}

// trialRecord holds something for one trial.
type trialRecord struct {
	Owner membership.Owner `json:"owner"`
}

// Run follows the platform's objects until ctx is done.
func (s *Suspects) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		every(ctx, cleanupInterval, s.cleanUp)
	}()
	objstore.Follow(ctx, s.store, objstore.KindSuspect, s.reset, s.apply)
	<-done
}

func (s *Suspects) reset(objects []objstore.Object, _ int64) {
	for _, o := range objects {
		s.note(o)
	}
}

func (s *Suspects) apply(e objstore.Event) {
	if e.Type == objstore.EventPut {
		s.note(e.Object)
		return
	}
	if p, ok := printOf(e.Object.Name); ok && e.Type == objstore.EventDelete {
		s.forget(p)
	}
}

func (s *Suspects) note(o objstore.Object) {
	p, ok := printOf(o.Name)
	var record suspectRecord
	if !ok || o.Decode(&record) != nil {
		return
	}
	s.Merge(Suspicion{Print: p, Level: record.Level, Since: time.Now()})
}

func (s *Suspects) forget(p Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, p)
}

func printOf(name string) (Fingerprint, bool) {
	text, ok := strings.CutPrefix(name, printPrefix)
	if !ok {
		return Fingerprint{}, false
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, false
	}
	return Fingerprint(raw), true
}

// write makes the platform know a level, never a milder one than it has.
func (s *Suspects) write(ctx context.Context, p Fingerprint, v Level) {
	record := suspectRecord{Level: v, Owner: s.owner()}
	name := printPrefix + p.String()
	_, err := s.store.Create(ctx, objstore.KindSuspect, name, record)
	for errors.Is(err, objstore.ErrConflict) && v == Quarantined {
		var o objstore.Object
		if o, err = s.store.Get(ctx, objstore.KindSuspect, name); err == nil {
			_, err = s.store.Update(ctx, objstore.KindSuspect, name, o.Version, record)
		}
	}
	if err != nil && !errors.Is(err, objstore.ErrConflict) {
		s.log.WithError(err).WithField("event", "suspect_not_written").Warn("level is known to peers only")
	}
}

// Clear notes that the request ran well alone.
func (s *Suspects) Clear(ctx context.Context, p Fingerprint) {
	s.forget(p)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseBound)
	defer cancel()
	s.remove(ctx, printPrefix+p.String(), func(objstore.Object) bool { return true })
}

// remove deletes an object if it is as expected.
func (s *Suspects) remove(ctx context.Context, name string, expected func(objstore.Object) bool) {
	o, err := s.store.Get(ctx, objstore.KindSuspect, name)
	if err == nil && expected(o) {
		err = s.store.Delete(ctx, objstore.KindSuspect, name, o.Version)
	}
	if err != nil && !errors.Is(err, objstore.ErrNotFound) {
		s.log.WithError(err).WithField("event", "suspect_not_removed").Debug("object is removed later")
	}
}

func (s *Suspects) owner() membership.Owner {
	self := s.members.Self()
	return membership.Owner{Host: self.Name, Epoch: self.Epoch}
}

// AcquireTrial takes the suspect and the upstream for a trial, fleet-wide. It returns
// objstore.ErrConflict when another trial holds one of them.
func (s *Suspects) AcquireTrial(ctx context.Context, p Fingerprint, id upstream.ID) (func(), error) {
	names := []string{trialPrefix + p.String(), trialPrefix + id.Service + "." + id.Name}
	var held []objstore.Object
	release := func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseBound)
		defer cancel()
		for _, o := range held {
			_ = s.store.Delete(bounded, objstore.KindSuspect, o.Name, o.Version)
		}
	}
	for _, name := range names {
		o, err := s.hold(ctx, name)
		if err != nil {
			release()
			return nil, err
		}
		held = append(held, o)
	}
	return release, nil
}

func (s *Suspects) hold(ctx context.Context, name string) (objstore.Object, error) {
	o, err := s.store.Create(ctx, objstore.KindSuspect, name, trialRecord{Owner: s.owner()})
	if errors.Is(err, objstore.ErrConflict) {
		s.remove(ctx, name, s.abandoned)
	}
	return o, err
}

// abandoned reports whether the holder of a trial is gone.
func (s *Suspects) abandoned(o objstore.Object) bool {
	var record trialRecord
	return o.Decode(&record) == nil && s.members.Lapsed(record.Owner)
}

// cleanUp removes the platform's objects of suspects that this host wrote and
// has forgotten.
func (s *Suspects) cleanUp(ctx context.Context) {
	objects, _, err := s.store.List(ctx, objstore.KindSuspect, printPrefix)
	if err != nil {
		return
	}
	for _, o := range objects {
		var record suspectRecord
		p, ok := printOf(o.Name)
		if !ok || o.Decode(&record) != nil || s.State(p) != Clear {
			continue
		}
		if record.Owner.Host == s.members.Self().Name || s.members.Lapsed(record.Owner) {
			_ = s.store.Delete(ctx, objstore.KindSuspect, o.Name, o.Version)
		}
	}
}
