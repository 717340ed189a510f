// Package batch accepts, runs and reports batch jobs.
//
// Contract: a job is acknowledged after its object is written, which is the
// commit point. Items run at least once and complete exactly once: the results
// of a chunk are committed by one conditional write, and the first commit wins.
package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/job"
)

const (
	defaultWindow   = 24 * time.Hour
	outputPrefix    = "output-"
	errorsPrefix    = "errors-"
	retryAfter      = 5 * time.Second
	settleTries     = 8
	filePrefix      = "file-"
	jobPrefix       = "batch_"
	maxCustomIDSize = 512
)

// Service is the use cases of batch jobs.
type Service struct {
	repo job.Repository
}

// NewService returns a service.
func NewService(repo job.Repository) *Service { return &Service{repo: repo} }

// unavailable hides a platform failure behind the caller's error.
func unavailable(err error) error {
	if errors.Is(err, job.ErrNotFound) || errors.Is(err, job.ErrConflict) {
		return err
	}
	return apierr.New(apierr.Unavailable, "the platform's store cannot be reached, so nothing was accepted or read",
		"send the request again after the time in Retry-After").WithCause(err).WithRetryAfter(retryAfter)
}

// Upload checks a file of input lines and keeps it.
func (s *Service) Upload(ctx context.Context, team, filename, purpose string, text []byte) (job.File, error) {
	parts, err := split(text)
	if err != nil {
		return job.File{}, err
	}
	f := job.File{
		ID: filePrefix + compactUUID(), Team: team, Filename: filename, Purpose: purpose,
		Bytes: int64(len(text)), Created: time.Now().UTC(),
	}
	for i, p := range parts {
		f.Lines = append(f.Lines, p.lines)
		if err := s.repo.CreatePart(ctx, f.ID, i, job.FilePart{Data: job.Compress(p.text)}); err != nil {
			return job.File{}, unavailable(err)
		}
	}
	if err := s.repo.CreateFile(ctx, f); err != nil {
		return job.File{}, unavailable(err)
	}
	return f, nil
}

func compactUUID() string { return strings.ReplaceAll(uuid.NewString(), "-", "") }

type part struct {
	text  []byte
	lines int
}

// split checks every line and cuts the text into parts of whole lines.
func split(text []byte) ([]part, error) {
	var parts []part
	var current part
	seen := map[string]int{}
	for number, line := range bytes.Split(text, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if err := checkLine(number+1, line, seen); err != nil {
			return nil, err
		}
		full := current.lines >= job.MaxPartLines || len(current.text)+len(line) > job.MaxPartBytes
		if full && current.lines > 0 {
			parts = append(parts, current)
			current = part{}
		}
		current.text = append(append(current.text, line...), '\n')
		current.lines++
	}
	if current.lines > 0 {
		parts = append(parts, current)
	}
	if len(parts) == 0 {
		return nil, apierr.New(apierr.Invalid, "the file has no lines", "send one JSON object a line")
	}
	return parts, nil
}

func checkLine(number int, line []byte, seen map[string]int) error {
	if len(line) > job.MaxPartBytes {
		return apierr.Newf(apierr.TooLarge, "shorten the line", "line %d exceeds %d bytes", number, job.MaxPartBytes)
	}
	var item job.Item
	if err := json.Unmarshal(line, &item); err != nil {
		return apierr.Newf(apierr.Invalid, "mend the line and send the file again", "line %d is not a JSON object of the batch API: %v", number, err)
	}
	if item.CustomID == "" || len(item.CustomID) > maxCustomIDSize {
		return apierr.Newf(apierr.Invalid, "give each line a custom_id of its own, of at most 512 bytes", "line %d has no usable custom_id", number)
	}
	if first, doubled := seen[item.CustomID]; doubled {
		return apierr.Newf(apierr.Invalid, "give each line a custom_id of its own", "lines %d and %d have the same custom_id %q", first, number, item.CustomID)
	}
	seen[item.CustomID] = number
	return nil
}

// File returns a file of the team.
func (s *Service) File(ctx context.Context, team, id string) (job.File, error) {
	f, err := s.repo.File(ctx, id)
	if errors.Is(err, job.ErrNotFound) || err == nil && f.Team != team {
		return job.File{}, notFound("file", id)
	}
	if err != nil {
		return job.File{}, unavailable(err)
	}
	return f, nil
}

func notFound(what, id string) error {
	return apierr.Newf(apierr.NotFound, "check the id", "%s %q does not exist", what, id)
}

// Submission is what a caller asks for.
type Submission struct {
	Team           string
	File           string
	Endpoint       string
	Window         time.Duration
	Metadata       map[string]string
	IdempotencyKey string
}

var endpoints = []string{"/v1/chat/completions", "/v1/completions"}

// Submit accepts a job. The same team and idempotency key give the same job.
func (s *Service) Submit(ctx context.Context, sub Submission) (job.Job, error) {
	f, err := s.File(ctx, sub.Team, sub.File)
	if err != nil {
		return job.Job{}, err
	}
	if !contains(endpoints, sub.Endpoint) {
		return job.Job{}, apierr.Newf(apierr.Invalid, "use one of "+strings.Join(endpoints, ", "), "endpoint %q is not served in batches", sub.Endpoint)
	}
	now := time.Now().UTC()
	window := sub.Window
	if window == 0 {
		window = defaultWindow
	}
	j := job.Job{
		ID: jobID(sub), Team: sub.Team, File: f.ID, Endpoint: sub.Endpoint, Lines: f.Lines, Metadata: sub.Metadata,
		State: job.Running, Created: now, Deadline: now.Add(window), Counts: job.Counts{Total: f.TotalLines()},
	}
	err = s.repo.CreateJob(ctx, j)
	if errors.Is(err, job.ErrConflict) {
		return s.resent(ctx, j)
	}
	if err != nil {
		return job.Job{}, unavailable(err)
	}
	return j, nil
}

func contains(list []string, v string) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

// jobID is determined by the team and the idempotency key, so that a job which
// is sent again meets the first one.
func jobID(sub Submission) string {
	if sub.IdempotencyKey == "" {
		return jobPrefix + compactUUID()
	}
	name := sub.Team + "\x00" + sub.IdempotencyKey
	return jobPrefix + strings.ReplaceAll(uuid.NewSHA1(uuid.NameSpaceOID, []byte(name)).String(), "-", "")
}

func (s *Service) resent(ctx context.Context, wanted job.Job) (job.Job, error) {
	first, _, err := s.repo.Job(ctx, wanted.ID)
	if err != nil {
		return job.Job{}, unavailable(err)
	}
	if first.Team != wanted.Team || first.File != wanted.File || first.Endpoint != wanted.Endpoint {
		return job.Job{}, apierr.New(apierr.Conflict, "the idempotency key was used for another job", "send a new key with a new job")
	}
	return first, nil
}

// Job returns a job of the team with its progress.
func (s *Service) Job(ctx context.Context, team, id string) (job.Job, error) {
	j, _, err := s.jobOf(ctx, team, id)
	if err != nil {
		return job.Job{}, err
	}
	return s.withProgress(ctx, j)
}

func (s *Service) jobOf(ctx context.Context, team, id string) (job.Job, job.Version, error) {
	j, v, err := s.repo.Job(ctx, id)
	if errors.Is(err, job.ErrNotFound) || err == nil && j.Team != team {
		return job.Job{}, 0, notFound("batch", id)
	}
	if err != nil {
		return job.Job{}, 0, unavailable(err)
	}
	return j, v, nil
}

// withProgress adds up the committed chunks of a job that has not ended.
func (s *Service) withProgress(ctx context.Context, j job.Job) (job.Job, error) {
	if j.State.Terminal() {
		return j, nil
	}
	chunks, err := s.repo.Chunks(ctx, j.ID)
	if err != nil {
		return job.Job{}, unavailable(err)
	}
	counts := sum(chunks)
	counts.Total = j.Counts.Total
	j.Counts = counts
	return j, nil
}

func sum(chunks map[int]job.Chunk) job.Counts {
	var counts job.Counts
	for _, c := range chunks {
		if c.Done() {
			counts = counts.Add(c.Counts)
		}
	}
	return counts
}

// Jobs returns the jobs of the team, newest first.
func (s *Service) Jobs(ctx context.Context, team string) ([]job.Job, error) {
	all, err := s.repo.Jobs(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	var own []job.Job
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].Team == team {
			own = append(own, all[i])
		}
	}
	return own, nil
}

// Cancel asks a job to stop. Once it returns, no further item is dispatched.
func (s *Service) Cancel(ctx context.Context, team, id string) (job.Job, error) {
	for range settleTries {
		j, v, err := s.jobOf(ctx, team, id)
		if err != nil {
			return job.Job{}, err
		}
		next, err := j.Cancel(time.Now().UTC())
		if err != nil || next.State == j.State {
			return next, err
		}
		err = s.repo.UpdateJob(ctx, next, v)
		if err == nil {
			return s.withProgress(ctx, next)
		}
		if !errors.Is(err, job.ErrConflict) {
			return job.Job{}, unavailable(err)
		}
	}
	return job.Job{}, apierr.New(apierr.Conflict, "the job keeps changing", "cancel it again")
}

// OutputFile and ErrorFile return the ids of a job's result files.
func OutputFile(id string) string { return outputPrefix + id }

// ErrorFile returns the id of the file of items that failed.
func ErrorFile(id string) string { return errorsPrefix + id }

// WriteContent writes a file's lines: an input file as it was sent, or the
// committed results of a job in input order.
func (s *Service) WriteContent(ctx context.Context, team, id string, w io.Writer) error {
	if name, ok := strings.CutPrefix(id, outputPrefix); ok {
		return s.writeResults(ctx, team, name, w, func(l job.ResultLine) bool { return !l.Failed() })
	}
	if name, ok := strings.CutPrefix(id, errorsPrefix); ok {
		return s.writeResults(ctx, team, name, w, job.ResultLine.Failed)
	}
	f, err := s.File(ctx, team, id)
	if err != nil {
		return err
	}
	for i := range f.Lines {
		p, err := s.repo.Part(ctx, id, i)
		if err != nil {
			return unavailable(err)
		}
		text, err := job.Decompress(p.Data)
		if err != nil {
			return err
		}
		if _, err := w.Write(text); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) writeResults(ctx context.Context, team, id string, w io.Writer, keep func(job.ResultLine) bool) error {
	j, _, err := s.jobOf(ctx, team, id)
	if err != nil {
		return err
	}
	chunks, err := s.repo.Chunks(ctx, id)
	if err != nil {
		return unavailable(err)
	}
	enc := json.NewEncoder(w)
	for i := range j.Lines {
		c := chunks[i]
		if !c.Done() {
			continue
		}
		segment, err := s.repo.Segment(ctx, c.Segment)
		if err != nil {
			return unavailable(err)
		}
		lines, err := segment.Lines()
		if err != nil {
			return err
		}
		for _, line := range lines {
			if !keep(line) {
				continue
			}
			if err := enc.Encode(line); err != nil {
				return err
			}
		}
	}
	return nil
}

func segmentName(id string, index int) string {
	return fmt.Sprintf("%s.%s", indexed(id, index), compactUUID())
}
