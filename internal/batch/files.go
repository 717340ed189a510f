package batch

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/job"
)

const (
	filePrefix      = "file-"
	maxCustomIDSize = 512
	discardTimeout  = 10 * time.Second
)

// Upload describes a file that is being sent.
type Upload struct {
	Team     string
	Filename string
	Purpose  string
	MaxLines int
	// Confirm is called after the last line and before the file can be read; its
	// error discards the file.
	Confirm func() error
}

// Upload checks a file of input lines and keeps it, part by part as it arrives.
// The file's object is written first, so that the parts of an upload that broke
// off can be found and removed.
func (s *Service) Upload(ctx context.Context, up Upload, text io.Reader) (job.File, error) {
	f := job.File{
		ID: filePrefix + job.CompactUUID(), Team: up.Team, Filename: up.Filename, Purpose: up.Purpose,
		State: job.Uploading, Created: time.Now().UTC(),
	}
	version, err := s.repo.CreateFile(ctx, f)
	if err != nil {
		return job.File{}, unavailable(err)
	}
	w := &partWriter{ctx: ctx, repo: s.repo, file: &f, max: up.MaxLines, partLines: s.partLines, digest: sha256.New(), seen: map[idHash]int{}}
	err = w.readAll(text)
	if err == nil && up.Confirm != nil {
		err = up.Confirm()
	}
	if err == nil {
		f.State = job.Ready
		f.Digest = hex.EncodeToString(w.digest.Sum(nil))
		err = s.repo.UpdateFile(ctx, f, version)
		if err != nil {
			return job.File{}, unavailable(err)
		}
		return f, nil
	}
	s.discard(ctx, f.ID, version)
	return job.File{}, err
}

// discard removes an upload that failed. What it cannot remove is found later,
// since the file still counts as uploading.
func (s *Service) discard(ctx context.Context, id string, v job.Version) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	_ = removeFile(ctx, s.repo, id, v)
}

// removeFile removes a file's parts, then the file.
func removeFile(ctx context.Context, repo job.Repository, id string, v job.Version) error {
	for i := 0; ; i++ {
		err := repo.DeletePart(ctx, id, i)
		if errors.Is(err, job.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
	}
	return repo.DeleteFile(ctx, id, v)
}

type idHash [16]byte

// partWriter checks lines and writes them in parts of whole lines.
type partWriter struct {
	ctx       context.Context
	repo      job.Repository
	file      *job.File
	max       int
	partLines int
	digest    hash.Hash
	seen      map[idHash]int // line numbers by custom_id
	number    int            // of the line that was read last
	text      []byte         // of the part that is being filled
	lines     int
}

func (w *partWriter) readAll(text io.Reader) error {
	lines := bufio.NewReaderSize(text, job.MaxPartBytes+2)
	for {
		line, err := lines.ReadSlice('\n')
		w.number++
		w.file.Bytes += int64(len(line))
		if err == bufio.ErrBufferFull {
			return apierr.Newf(apierr.TooLarge, "shorten the line", "line %d exceeds %d bytes", w.number, job.MaxPartBytes)
		}
		if err != nil && err != io.EOF {
			return arrivedBroken(err)
		}
		if lerr := w.add(bytes.TrimSpace(line)); lerr != nil {
			return lerr
		}
		if err == io.EOF {
			return w.finish()
		}
	}
}

// arrivedBroken is the error of an upload that did not arrive whole.
func arrivedBroken(err error) error {
	var typed *apierr.Error
	if errors.As(err, &typed) {
		return typed
	}
	return apierr.New(apierr.Invalid, "the file did not arrive whole, or is too large", "send it again, in several files if need be").WithCause(err)
}

func (w *partWriter) add(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	if err := w.check(line); err != nil {
		return err
	}
	if w.lines >= w.partLines || len(w.text)+len(line) >= job.MaxPartBytes {
		if err := w.flush(); err != nil {
			return err
		}
	}
	w.text = append(append(w.text, line...), '\n')
	w.lines++
	return nil
}

func (w *partWriter) finish() error {
	if err := w.flush(); err != nil {
		return err
	}
	if len(w.file.Lines) == 0 {
		return apierr.New(apierr.Invalid, "the file has no lines", "send one JSON object a line")
	}
	return nil
}

func (w *partWriter) flush() error {
	if w.lines == 0 {
		return nil
	}
	_, _ = w.digest.Write(w.text)
	err := w.repo.CreatePart(w.ctx, w.file.ID, len(w.file.Lines), job.FilePart{Data: job.Compress(w.text)})
	if err != nil {
		return unavailable(err)
	}
	w.file.Lines = append(w.file.Lines, w.lines)
	w.text, w.lines = w.text[:0], 0
	return nil
}

func (w *partWriter) check(line []byte) error {
	var item job.Item
	if err := json.Unmarshal(line, &item); err != nil {
		return apierr.Newf(apierr.Invalid, "mend the line and send the file again", "line %d is not a JSON object of the batch API: %v", w.number, err)
	}
	if item.CustomID == "" || len(item.CustomID) > maxCustomIDSize {
		return apierr.Newf(apierr.Invalid, "give each line a custom_id of its own, of at most 512 bytes", "line %d has no usable custom_id", w.number)
	}
	if item.Method != "POST" || !slices.Contains(endpoints, item.URL) {
		return apierr.Newf(apierr.Invalid, "use POST and one of "+strings.Join(endpoints, ", "), "line %d has method %.16q and url %.64q", w.number, item.Method, item.URL)
	}
	if len(item.Body) == 0 || item.Body[0] != '{' {
		return apierr.Newf(apierr.Invalid, "give the request as a JSON object", "line %d has no body", w.number)
	}
	sum := sha256.Sum256([]byte(item.CustomID))
	id := idHash(sum[:16])
	if first, doubled := w.seen[id]; doubled {
		return apierr.Newf(apierr.Invalid, "give each line a custom_id of its own", "lines %d and %d have the same custom_id %q", first, w.number, item.CustomID)
	}
	w.seen[id] = w.number
	if w.max > 0 && len(w.seen) > w.max {
		return apierr.Newf(apierr.TooLarge, "send it in several files", "the file has more than %d lines", w.max)
	}
	return nil
}

// File returns a file of the team.
func (s *Service) File(ctx context.Context, team, id string) (job.File, error) {
	f, _, err := s.fileOf(ctx, team, id)
	return f, err
}

func (s *Service) fileOf(ctx context.Context, team, id string) (job.File, job.Version, error) {
	f, v, err := s.repo.File(ctx, id)
	if errors.Is(err, job.ErrNotFound) || err == nil && (f.Team != team || f.State != job.Ready) {
		return job.File{}, 0, notFound("file", id)
	}
	if err != nil {
		return job.File{}, 0, unavailable(err)
	}
	return f, v, nil
}

// Files returns a page of the team's files, newest first, and whether there are
// more.
func (s *Service) Files(ctx context.Context, team, after string, limit int) ([]job.File, bool, error) {
	all, err := s.repo.Files(ctx)
	if err != nil {
		return nil, false, unavailable(err)
	}
	own := slices.DeleteFunc(all, func(f job.File) bool { return f.Team != team || f.State != job.Ready })
	slices.SortFunc(own, func(a, b job.File) int {
		return cmp.Or(b.Created.Compare(a.Created), strings.Compare(a.ID, b.ID))
	})
	return page(own, after, limit, "file", func(f job.File) string { return f.ID })
}

// DeleteFile hides a file. Jobs that were submitted with it go on; its parts are
// removed later.
func (s *Service) DeleteFile(ctx context.Context, team, id string) error {
	for range settleTries {
		f, v, err := s.fileOf(ctx, team, id)
		if err != nil {
			return err
		}
		now := time.Now().UTC()
		f.State, f.DeletedAt = job.Deleted, &now
		err = s.repo.UpdateFile(ctx, f, v)
		if err == nil {
			return nil
		}
		if !errors.Is(err, job.ErrConflict) {
			return unavailable(err)
		}
	}
	return apierr.New(apierr.Conflict, "the file keeps changing", "delete it again")
}
