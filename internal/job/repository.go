package job

import (
	"context"

	"github.com/go-faster/errors"
)

// The errors of a Repository.
var (
	ErrNotFound = errors.New("not found")
	ErrConflict = errors.New("changed by another writer")
	// ErrAmbiguous means that a write may have taken effect.
	ErrAmbiguous = errors.New("it is not known whether the write took effect")
)

// Version is the version of a stored object, for conditional writes. Zero means
// that the object does not exist.
type Version int64

// Repository keeps files, jobs, chunks and segments. Every write is conditional
// on the version that was read.
type Repository interface {
	CreateFile(ctx context.Context, f File) (Version, error)
	UpdateFile(ctx context.Context, f File, v Version) error
	File(ctx context.Context, id string) (File, Version, error)
	Files(ctx context.Context) ([]File, error)
	DeleteFile(ctx context.Context, id string, v Version) error
	CreatePart(ctx context.Context, file string, index int, p FilePart) error
	Part(ctx context.Context, file string, index int) (FilePart, error)
	DeletePart(ctx context.Context, file string, index int) error

	CreateJob(ctx context.Context, j Job) error
	// Job returns a job of the team, whether it runs or has ended.
	Job(ctx context.Context, team, id string) (Job, Version, error)
	// Jobs returns the jobs of all teams that run, and such as have ended and are
	// not yet archived.
	Jobs(ctx context.Context) ([]Job, error)
	EndedJobs(ctx context.Context, team string) ([]Job, error)
	UpdateJob(ctx context.Context, j Job, v Version) error
	// ArchiveJob takes an ended job out of the running ones. It can be repeated.
	ArchiveJob(ctx context.Context, j Job) error

	Chunk(ctx context.Context, job string, index int) (Chunk, Version, error)
	Chunks(ctx context.Context, job string) (map[int]StoredChunk, error)
	PutChunk(ctx context.Context, job string, index int, c Chunk, v Version) (Version, error)

	CreateSegment(ctx context.Context, name string, s Segment) error
	Segment(ctx context.Context, name string) (Segment, error)
}
