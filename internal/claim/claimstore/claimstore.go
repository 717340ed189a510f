// Package claimstore implements claim.Repository on the object store.
package claimstore

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/claim"
	"github.com/masticscale/masticscale/internal/objstore"
)

type repository struct{ store objstore.Store }

// New returns a claim repository that uses the object store.
func New(store objstore.Store) claim.Repository { return repository{store} }

// translateError wraps the errors of the object store in those of claim.Repository.
func translateError(err error) error {
	for from, to := range map[error]error{
		objstore.ErrNotFound:  claim.ErrNotFound,
		objstore.ErrConflict:  claim.ErrConflict,
		objstore.ErrAmbiguous: claim.ErrAmbiguous,
	} {
		if errors.Is(err, from) {
			return errors.Wrap(to, err.Error())
		}
	}
	return err
}

// Create implements claim.Repository.
func (r repository) Create(ctx context.Context, name string, c claim.Claim) (claim.Version, error) {
	o, err := r.store.Create(ctx, objstore.KindClaim, name, c)
	return claim.Version(o.Version), translateError(err)
}

// Get implements claim.Repository.
func (r repository) Get(ctx context.Context, name string) (claim.Stored, error) {
	o, err := r.store.Get(ctx, objstore.KindClaim, name)
	if err != nil {
		return claim.Stored{}, translateError(err)
	}
	return decode(o)
}

func decode(o objstore.Object) (claim.Stored, error) {
	s := claim.Stored{Name: o.Name, Version: claim.Version(o.Version)}
	return s, o.Decode(&s.Claim)
}

// Update implements claim.Repository.
func (r repository) Update(ctx context.Context, name string, v claim.Version, c claim.Claim) (claim.Version, error) {
	o, err := r.store.Update(ctx, objstore.KindClaim, name, int64(v), c)
	return claim.Version(o.Version), translateError(err)
}

// Delete implements claim.Repository.
func (r repository) Delete(ctx context.Context, name string, v claim.Version) error {
	return translateError(r.store.Delete(ctx, objstore.KindClaim, name, int64(v)))
}

// List implements claim.Repository.
func (r repository) List(ctx context.Context, prefix string) ([]claim.Stored, error) {
	objects, _, err := r.store.List(ctx, objstore.KindClaim, prefix)
	if err != nil {
		return nil, translateError(err)
	}
	claims := make([]claim.Stored, len(objects))
	for i, o := range objects {
		if claims[i], err = decode(o); err != nil {
			return nil, err
		}
	}
	return claims, nil
}
