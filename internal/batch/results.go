package batch

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/masticscale/masticscale/internal/job"
)

const (
	outputPrefix = "output-"
	errorsPrefix = "errors-"
)

// OutputFile returns the id of the file of a job's successful results.
func OutputFile(id string) string { return outputPrefix + id }

// ErrorFile returns the id of the file of a job's failed items.
func ErrorFile(id string) string { return errorsPrefix + id }

// Content reads a file part by part.
type Content struct {
	parts int
	write func(ctx context.Context, part int, w io.Writer) error
}

// WriteTo writes the content one part at a time, so that memory use is bounded
// by the size of a part.
func (c Content) WriteTo(ctx context.Context, w io.Writer) error {
	for i := range c.parts {
		if err := c.write(ctx, i, w); err != nil {
			return err
		}
	}
	return nil
}

// Open returns the content of a file of the team: an input file as uploaded,
// or the committed results of a job in input order.
func (s *Service) Open(ctx context.Context, team, id string) (Content, error) {
	if name, ok := strings.CutPrefix(id, outputPrefix); ok {
		return s.openResults(ctx, team, name, func(l job.ResultLine) bool { return !l.Failed() })
	}
	if name, ok := strings.CutPrefix(id, errorsPrefix); ok {
		return s.openResults(ctx, team, name, job.ResultLine.Failed)
	}
	f, err := s.File(ctx, team, id)
	if err != nil {
		return Content{}, err
	}
	return Content{parts: len(f.Lines), write: func(ctx context.Context, i int, w io.Writer) error {
		return s.writePart(ctx, f.ID, i, w)
	}}, nil
}

func (s *Service) writePart(ctx context.Context, file string, index int, w io.Writer) error {
	p, err := s.repo.Part(ctx, file, index)
	if err != nil {
		return translateRepositoryError(err)
	}
	text, err := job.Decompress(p.Data)
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

func (s *Service) openResults(ctx context.Context, team, id string, keep func(job.ResultLine) bool) (Content, error) {
	j, _, err := s.teamJob(ctx, team, id)
	if err != nil {
		return Content{}, err
	}
	chunks, err := s.repo.Chunks(ctx, id)
	if err != nil {
		return Content{}, translateRepositoryError(err)
	}
	return Content{parts: len(j.Lines), write: func(ctx context.Context, i int, w io.Writer) error {
		lines, err := s.results(ctx, j, i, chunks[i].Chunk)
		if err != nil {
			return err
		}
		return writeLines(w, lines, keep)
	}}, nil
}

// results returns the results of one chunk. If a chunk was cancelled before
// its commit, each item has a cancellation error.
func (s *Service) results(ctx context.Context, j job.Job, index int, c job.Chunk) ([]job.ResultLine, error) {
	if c.Stopped || !c.Done() && j.State == job.Cancelled {
		return s.cancelledLines(ctx, j, index)
	}
	var lines []job.ResultLine
	for _, name := range c.Segments {
		segment, err := s.repo.Segment(ctx, name)
		if err != nil {
			return nil, translateRepositoryError(err)
		}
		more, err := segment.Lines()
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func (s *Service) cancelledLines(ctx context.Context, j job.Job, index int) ([]job.ResultLine, error) {
	p, err := s.repo.Part(ctx, j.File, index)
	if err != nil {
		return nil, translateRepositoryError(err)
	}
	items, err := p.Items()
	if err != nil {
		return nil, err
	}
	lines := make([]job.ResultLine, len(items))
	for i, item := range items {
		lines[i] = job.CancelledLine(item.CustomID)
	}
	return lines, nil
}

func writeLines(w io.Writer, lines []job.ResultLine, keep func(job.ResultLine) bool) error {
	enc := json.NewEncoder(w)
	for _, line := range lines {
		if !keep(line) {
			continue
		}
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	return nil
}
