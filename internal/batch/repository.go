package batch

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/objstore"
)

// repository implements job.Repository on the platform's object store.
type repository struct{ store objstore.Store }

// NewRepository returns a repository on the platform's object store.
func NewRepository(store objstore.Store) job.Repository { return repository{store} }

func indexedName(owner string, index int) string { return fmt.Sprintf("%s.%05d", owner, index) }

func translateStoreError(err error) error {
	switch {
	case errors.Is(err, objstore.ErrNotFound):
		return errors.Wrap(job.ErrNotFound, err.Error())
	case errors.Is(err, objstore.ErrConflict):
		return errors.Wrap(job.ErrConflict, err.Error())
	case errors.Is(err, objstore.ErrAmbiguous):
		return errors.Wrap(job.ErrAmbiguous, err.Error())
	}
	return err
}

func getObject[T any](ctx context.Context, store objstore.Store, kind objstore.Kind, name string) (T, job.Version, error) {
	var v T
	o, err := store.Get(ctx, kind, name)
	if err != nil {
		return v, 0, translateStoreError(err)
	}
	return v, job.Version(o.Version), o.Decode(&v)
}

func listObjects[T any](ctx context.Context, store objstore.Store, kind objstore.Kind, prefix string) ([]T, error) {
	objects, _, err := store.List(ctx, kind, prefix)
	if err != nil {
		return nil, translateStoreError(err)
	}
	values := make([]T, len(objects))
	for i, o := range objects {
		if err := o.Decode(&values[i]); err != nil {
			return nil, err
		}
	}
	return values, nil
}

func (r repository) createObject(ctx context.Context, kind objstore.Kind, name string, v any) error {
	_, err := r.store.Create(ctx, kind, name, v)
	return translateStoreError(err)
}

func (r repository) CreateFile(ctx context.Context, f job.File) (job.Version, error) {
	o, err := r.store.Create(ctx, objstore.KindFile, f.ID, f)
	return job.Version(o.Version), translateStoreError(err)
}

func (r repository) UpdateFile(ctx context.Context, f job.File, v job.Version) error {
	_, err := r.store.Update(ctx, objstore.KindFile, f.ID, int64(v), f)
	return translateStoreError(err)
}

func (r repository) File(ctx context.Context, id string) (job.File, job.Version, error) {
	return getObject[job.File](ctx, r.store, objstore.KindFile, id)
}

func (r repository) Files(ctx context.Context) ([]job.File, error) {
	return listObjects[job.File](ctx, r.store, objstore.KindFile, "")
}

func (r repository) DeleteFile(ctx context.Context, id string, v job.Version) error {
	return translateStoreError(r.store.Delete(ctx, objstore.KindFile, id, int64(v)))
}

func (r repository) CreatePart(ctx context.Context, file string, index int, p job.FilePart) error {
	return r.createObject(ctx, objstore.KindFilePart, indexedName(file, index), p)
}

// DeletePart returns ErrNotFound if the part doesn't exist.
func (r repository) DeletePart(ctx context.Context, file string, index int) error {
	o, err := r.store.Get(ctx, objstore.KindFilePart, indexedName(file, index))
	if err != nil {
		return translateStoreError(err)
	}
	return translateStoreError(r.store.Delete(ctx, objstore.KindFilePart, o.Name, o.Version))
}

func (r repository) Part(ctx context.Context, file string, index int) (job.FilePart, error) {
	p, _, err := getObject[job.FilePart](ctx, r.store, objstore.KindFilePart, indexedName(file, index))
	return p, err
}

func (r repository) CreateJob(ctx context.Context, j job.Job) error {
	return r.createObject(ctx, objstore.KindJob, j.ID, j)
}

func (r repository) Chunk(ctx context.Context, id string, index int) (job.Chunk, job.Version, error) {
	return getObject[job.Chunk](ctx, r.store, objstore.KindChunk, indexedName(id, index))
}

func (r repository) Chunks(ctx context.Context, id string) (map[int]job.StoredChunk, error) {
	objects, _, err := r.store.List(ctx, objstore.KindChunk, id+".")
	if err != nil {
		return nil, translateStoreError(err)
	}
	chunks := make(map[int]job.StoredChunk, len(objects))
	for _, o := range objects {
		index, err := strconv.Atoi(strings.TrimPrefix(o.Name, id+"."))
		if err != nil {
			return nil, errors.Wrapf(err, "chunk name %q", o.Name)
		}
		c := job.StoredChunk{Version: job.Version(o.Version)}
		if err := o.Decode(&c.Chunk); err != nil {
			return nil, err
		}
		chunks[index] = c
	}
	return chunks, nil
}

func (r repository) PutChunk(ctx context.Context, id string, index int, c job.Chunk, v job.Version) (job.Version, error) {
	var o objstore.Object
	var err error
	if v == 0 {
		o, err = r.store.Create(ctx, objstore.KindChunk, indexedName(id, index), c)
	} else {
		o, err = r.store.Update(ctx, objstore.KindChunk, indexedName(id, index), int64(v), c)
	}
	return job.Version(o.Version), translateStoreError(err)
}

func (r repository) CreateSegment(ctx context.Context, name string, s job.Segment) error {
	return r.createObject(ctx, objstore.KindSegment, name, s)
}

func (r repository) Segment(ctx context.Context, name string) (job.Segment, error) {
	s, _, err := getObject[job.Segment](ctx, r.store, objstore.KindSegment, name)
	return s, err
}
