package job

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors that a Repository returns.
var (
	ErrNotFound = errors.New("not found")
	ErrConflict = errors.New("changed by another writer")
	// ErrAmbiguous means that the write may or may not have taken effect.
	ErrAmbiguous = errors.New("it is not known whether the write took effect")
)

// Version is the version of a stored object, for conditional writes. Zero stands
// for an object that does not exist.
type Version int64

// Repository stores files, jobs, chunks and segments. Every write is conditional
// on the version that was read (optimistic concurrency).
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
	// Job returns a running or ended job of the team.
	Job(ctx context.Context, team, id string) (Job, Version, error)
	// Jobs returns the jobs of all teams that are not archived: the running ones,
	// and ended ones for which ArchiveJob is still to come.
	Jobs(ctx context.Context) ([]Job, error)
	EndedJobs(ctx context.Context, team string) ([]Job, error)
	UpdateJob(ctx context.Context, j Job, v Version) error
	// ArchiveJob moves an ended job from Jobs to EndedJobs. It is idempotent.
	ArchiveJob(ctx context.Context, j Job) error

	Chunk(ctx context.Context, job string, index int) (Chunk, Version, error)
	Chunks(ctx context.Context, job string) (map[int]StoredChunk, error)
	PutChunk(ctx context.Context, job string, index int, c Chunk, v Version) (Version, error)

	CreateSegment(ctx context.Context, name string, s Segment) error
	Segment(ctx context.Context, name string) (Segment, error)
}
