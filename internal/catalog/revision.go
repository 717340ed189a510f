package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/objstore"
)

// ReadRevision reads the revision that the pointer names.
func ReadRevision(ctx context.Context, store objstore.Store, p Pointer) (config.Revision, error) {
	var r config.Revision
	o, err := store.Get(ctx, objstore.KindRevision, p.Object)
	if err != nil {
		return r, err
	}
	return r, o.Decode(&r)
}

// AcceptRevision checks a whole bundle and makes it the revision in force. If
// expected, the revision that the operator has seen, is not negative, another
// revision in force is a conflict.
func AcceptRevision(ctx context.Context, store objstore.Store, bundle config.Bundle, author, note string, expected int64) (config.Revision, error) {
	if err := bundle.Validate(); err != nil {
		return config.Revision{}, err
	}
	bundle = bundle.WithoutSecrets()
	pointer, version, err := readPointer(ctx, store)
	if err != nil {
		return config.Revision{}, err
	}
	if expected >= 0 && pointer.Revision != expected {
		return config.Revision{}, revisionConflict(ctx, store, pointer)
	}
	revision := config.Revision{
		Number:  pointer.Revision + 1,
		Bundle:  bundle,
		Author:  author,
		Note:    note,
		Created: time.Now().UTC(),
	}
	return commit(ctx, store, revision, pointer, version)
}

// commit writes the revision under a unique name and then the pointer, which is
// the commit point. A revision whose pointer write conflicts is never read.
func commit(ctx context.Context, store objstore.Store, r config.Revision, before Pointer, version int64) (config.Revision, error) {
	next, dropped := before.next(PointerEntry{
		Revision: r.Number, Object: uuid.NewString(), Author: r.Author, Note: r.Note, Created: r.Created,
	})
	o, err := store.Create(ctx, objstore.KindRevision, next.Object, r)
	if err != nil {
		return config.Revision{}, err
	}
	if version == 0 {
		_, err = store.Create(ctx, objstore.KindPointer, PointerName, next)
	} else {
		_, err = store.Update(ctx, objstore.KindPointer, PointerName, version, next)
	}
	if errors.Is(err, objstore.ErrConflict) {
		_ = store.Delete(ctx, objstore.KindRevision, next.Object, o.Version) // nothing points to it
		current, _, _ := readPointer(ctx, store)
		return config.Revision{}, revisionConflict(ctx, store, current)
	}
	if err != nil {
		return config.Revision{}, err
	}
	deleteDropped(ctx, store, dropped)
	return r, nil
}

// deleteDropped deletes revisions that were dropped from the history. Failures are
// ignored, because a remaining revision does no harm.
func deleteDropped(ctx context.Context, store objstore.Store, dropped []PointerEntry) {
	for _, entry := range dropped {
		o, err := store.Get(ctx, objstore.KindRevision, entry.Object)
		if err == nil {
			_ = store.Delete(ctx, objstore.KindRevision, entry.Object, o.Version)
		}
	}
}

// History returns the accepted revisions that are kept, latest first.
func History(ctx context.Context, store objstore.Store) ([]PointerEntry, error) {
	p, _, err := readPointer(ctx, store)
	if err != nil {
		return nil, err
	}
	entries := slices.Clone(p.History)
	slices.Reverse(entries)
	return entries, nil
}

func readPointer(ctx context.Context, store objstore.Store) (Pointer, int64, error) {
	var p Pointer
	o, err := store.Get(ctx, objstore.KindPointer, PointerName)
	if errors.Is(err, objstore.ErrNotFound) {
		return p, 0, nil
	}
	if err != nil {
		return p, 0, err
	}
	return p, o.Version, o.Decode(&p)
}

func revisionConflict(ctx context.Context, store objstore.Store, current Pointer) error {
	author := "another operator"
	if r, err := ReadRevision(ctx, store, current); err == nil && r.Author != "" {
		author = r.Author
	}
	return apierr.Newf(apierr.Conflict, "read it with 'config show', merge your change and apply again",
		"revision %d by %s is in force; yours was not accepted", current.Revision, author)
}
