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

// Upload describes an input file and its upload.
type Upload struct {
	Team     string
	Filename string
	Purpose  string
	MaxLines int
	// Confirm is called after the last line, before the file becomes readable.
	// An error discards the file.
	Confirm func() error
}

// Upload validates an input file and stores it part by part while it arrives.
// The file's object is written first, so that the parts of an interrupted
// upload can be found and deleted.
func (s *Service) Upload(ctx context.Context, up Upload, text io.Reader) (job.File, error) {
	f := job.File{
		ID: filePrefix + job.CompactUUID(), Team: up.Team, Filename: up.Filename, Purpose: up.Purpose,
		State: job.Uploading, Created: time.Now().UTC(),
	}
	version, err := s.repo.CreateFile(ctx, f)
	if err != nil {
		return job.File{}, translateRepositoryError(err)
	}
	w := &partWriter{ctx: ctx, repo: s.repo, file: &f, maxLines: up.MaxLines, maxPartLines: s.partLines, digest: sha256.New(), lineByCustomID: map[customIDHash]int{}}
	err = w.readAll(text)
	if err == nil && up.Confirm != nil {
		err = up.Confirm()
	}
	if err == nil {
		f.State = job.Ready
		f.Digest = hex.EncodeToString(w.digest.Sum(nil))
		err = s.repo.UpdateFile(ctx, f, version)
		if err != nil {
			return job.File{}, translateRepositoryError(err)
		}
		return f, nil
	}
	s.discard(ctx, f.ID, version)
	return job.File{}, err
}

// discard deletes a failed upload. Parts that can't be deleted now are
// collected by the file sweep, because the file stays in state Uploading.
func (s *Service) discard(ctx context.Context, id string, v job.Version) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	_ = removeFile(ctx, s.repo, id, v)
}

// removeFile deletes a file's parts and then its object.
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

type customIDHash [16]byte

// partWriter validates lines and stores them in parts of whole lines.
type partWriter struct {
	ctx            context.Context
	repo           job.Repository
	file           *job.File
	maxLines       int
	maxPartLines   int
	digest         hash.Hash
	lineByCustomID map[customIDHash]int // line number of each custom_id
	lineNumber     int                  // of the last line read
	partText       []byte               // of the part being filled
	partLineCount  int
}

func (w *partWriter) readAll(text io.Reader) error {
	lines := bufio.NewReaderSize(text, job.MaxPartBytes+2)
	for {
		line, err := lines.ReadSlice('\n')
		w.lineNumber++
		w.file.Bytes += int64(len(line))
		if err == bufio.ErrBufferFull {
			return apierr.Newf(apierr.TooLarge, "shorten the line", "line %d exceeds %d bytes", w.lineNumber, job.MaxPartBytes)
		}
		if err != nil && err != io.EOF {
			return uploadReadError(err)
		}
		if lerr := w.addLine(bytes.TrimSpace(line)); lerr != nil {
			return lerr
		}
		if err == io.EOF {
			return w.finish()
		}
	}
}

// uploadReadError returns the error for an incomplete upload.
func uploadReadError(err error) error {
	var typed *apierr.Error
	if errors.As(err, &typed) {
		return typed
	}
	return apierr.New(apierr.Invalid, "the file did not arrive whole, or is too large", "send it again, in several files if need be").WithCause(err)
}

func (w *partWriter) addLine(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	if err := w.checkLine(line); err != nil {
		return err
	}
	if w.partLineCount >= w.maxPartLines || len(w.partText)+len(line) >= job.MaxPartBytes {
		if err := w.flushPart(); err != nil {
			return err
		}
	}
	w.partText = append(append(w.partText, line...), '\n')
	w.partLineCount++
	return nil
}

func (w *partWriter) finish() error {
	if err := w.flushPart(); err != nil {
		return err
	}
	if len(w.file.Lines) == 0 {
		return apierr.New(apierr.Invalid, "the file has no lines", "send one JSON object a line")
	}
	return nil
}

func (w *partWriter) flushPart() error {
	if w.partLineCount == 0 {
		return nil
	}
	_, _ = w.digest.Write(w.partText)
	err := w.repo.CreatePart(w.ctx, w.file.ID, len(w.file.Lines), job.FilePart{Data: job.Compress(w.partText)})
	if err != nil {
		return translateRepositoryError(err)
	}
	w.file.Lines = append(w.file.Lines, w.partLineCount)
	w.partText, w.partLineCount = w.partText[:0], 0
	return nil
}

func (w *partWriter) checkLine(line []byte) error {
	var item job.Item
	if err := json.Unmarshal(line, &item); err != nil {
		return apierr.Newf(apierr.Invalid, "mend the line and send the file again", "line %d is not a JSON object of the batch API: %v", w.lineNumber, err)
	}
	if item.CustomID == "" || len(item.CustomID) > maxCustomIDSize {
		return apierr.Newf(apierr.Invalid, "give each line a custom_id of its own, of at most 512 bytes", "line %d has no usable custom_id", w.lineNumber)
	}
	if item.Method != "POST" || !slices.Contains(endpoints, item.URL) {
		return apierr.Newf(apierr.Invalid, "use POST and one of "+strings.Join(endpoints, ", "), "line %d has method %.16q and url %.64q", w.lineNumber, item.Method, item.URL)
	}
	if len(item.Body) == 0 || item.Body[0] != '{' {
		return apierr.Newf(apierr.Invalid, "give the request as a JSON object", "line %d has no body", w.lineNumber)
	}
	sum := sha256.Sum256([]byte(item.CustomID))
	id := customIDHash(sum[:16])
	if first, duplicate := w.lineByCustomID[id]; duplicate {
		return apierr.Newf(apierr.Invalid, "give each line a custom_id of its own", "lines %d and %d have the same custom_id %q", first, w.lineNumber, item.CustomID)
	}
	w.lineByCustomID[id] = w.lineNumber
	if w.maxLines > 0 && len(w.lineByCustomID) > w.maxLines {
		return apierr.Newf(apierr.TooLarge, "send it in several files", "the file has more than %d lines", w.maxLines)
	}
	return nil
}

// File returns a file of the team.
func (s *Service) File(ctx context.Context, team, id string) (job.File, error) {
	f, _, err := s.teamFile(ctx, team, id)
	return f, err
}

func (s *Service) teamFile(ctx context.Context, team, id string) (job.File, job.Version, error) {
	f, v, err := s.repo.File(ctx, id)
	if errors.Is(err, job.ErrNotFound) || err == nil && (f.Team != team || f.State != job.Ready) {
		return job.File{}, 0, notFound("file", id)
	}
	if err != nil {
		return job.File{}, 0, translateRepositoryError(err)
	}
	return f, v, nil
}

// Files returns a page of the team's files, newest first, and whether there are
// more.
func (s *Service) Files(ctx context.Context, team, after string, limit int) ([]job.File, bool, error) {
	all, err := s.repo.Files(ctx)
	if err != nil {
		return nil, false, translateRepositoryError(err)
	}
	own := slices.DeleteFunc(all, func(f job.File) bool { return f.Team != team || f.State != job.Ready })
	slices.SortFunc(own, func(a, b job.File) int {
		return cmp.Or(b.Created.Compare(a.Created), strings.Compare(a.ID, b.ID))
	})
	return pageAfter(own, after, limit, "file", func(f job.File) string { return f.ID })
}

// DeleteFile marks a file as deleted. Jobs submitted with the file continue;
// the file sweep deletes its parts later.
func (s *Service) DeleteFile(ctx context.Context, team, id string) error {
	for range maxUpdateAttempts {
		f, v, err := s.teamFile(ctx, team, id)
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
			return translateRepositoryError(err)
		}
	}
	return apierr.New(apierr.Conflict, "the file keeps changing", "delete it again")
}
