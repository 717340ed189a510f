// Package job is the aggregate of a batch job: its file, its chunks and its
// state machine. It does no I/O.
package job

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
)

// State is the state of a job.
type State string

// The states of a job. They only move downwards in this list.
const (
	Running    State = "in_progress"
	Cancelling State = "cancelling"
	Cancelled  State = "cancelled"
	Completed  State = "completed"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s == Cancelled || s == Completed }

// FileState is the state of a file.
type FileState string

// The states of a file. Only a ready file can be read.
const (
	Uploading FileState = "uploading"
	Ready     FileState = "ready"
	Deleted   FileState = "deleted"
)

// File is a file of input lines, as the files API holds it.
type File struct {
	ID        string     `json:"id"`
	Team      string     `json:"team"`
	Filename  string     `json:"filename"`
	Purpose   string     `json:"purpose"`
	State     FileState  `json:"state"`
	Bytes     int64      `json:"bytes"`
	Digest    string     `json:"digest"` // of the lines, so that the same content is known again
	Lines     []int      `json:"lines"`  // lines in each part
	DeletedAt *time.Time `json:"deleted_at,omitempty"`
	Created   time.Time  `json:"created"`
}

// TotalLines returns the number of lines in the file.
func (f File) TotalLines() int {
	total := 0
	for _, n := range f.Lines {
		total += n
	}
	return total
}

// FilePart is a run of whole lines of a file, compressed.
type FilePart struct {
	Data []byte `json:"data"` // zstd
}

// Job is a batch job. Its chunks are the parts of its file.
type Job struct {
	ID        string            `json:"id"`
	Team      string            `json:"team"`
	File      string            `json:"file"`
	Digest    string            `json:"digest"` // of the file's lines
	Window    time.Duration     `json:"window"`
	Endpoint  string            `json:"endpoint"`
	Lines     []int             `json:"lines"` // items in each chunk
	Metadata  map[string]string `json:"metadata,omitempty"`
	State     State             `json:"state"`
	Created   time.Time         `json:"created"`
	Deadline  time.Time         `json:"deadline"`
	Ended     *time.Time        `json:"ended,omitempty"`
	Cancelled *time.Time        `json:"cancel_asked,omitempty"`
	Counts    Counts            `json:"counts"` // final once the state is terminal
}

// Counts are the items of a job by how they ended.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Done returns the items that have ended.
func (c Counts) Done() int { return c.Completed + c.Failed + c.Cancelled }

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Total + o.Total, c.Completed + o.Completed, c.Failed + o.Failed, c.Cancelled + o.Cancelled}
}

// SameAs reports whether the other job asks for the same work, as a submission
// that is sent again does.
func (j Job) SameAs(o Job) bool {
	return j.Team == o.Team && j.Digest == o.Digest && j.Endpoint == o.Endpoint &&
		j.Window == o.Window && maps.Equal(j.Metadata, o.Metadata)
}

// FinalCounts returns the counts of a job that can end, and whether it can. A running
// job ends when every chunk is done. One that is being cancelled ends when every
// chunk that was ever claimed is done; nobody dispatches items of the others any
// more, so they count as cancelled.
func (j Job) FinalCounts(chunks map[int]StoredChunk) (Counts, bool) {
	var counts Counts
	for i, lines := range j.Lines {
		c, claimed := chunks[i]
		switch {
		case c.Done():
			counts = counts.Add(c.Counts)
		case claimed || j.State == Running:
			return Counts{}, false
		default:
			counts = counts.Add(Counts{Total: lines, Cancelled: lines})
		}
	}
	return counts, true
}

// ExpectedEnd extrapolates the pace so far. It reports false before the first
// item has ended.
func (j Job) ExpectedEnd(now time.Time) (time.Time, bool) {
	done := j.Counts.Done()
	if done == 0 || j.State.Terminal() {
		return time.Time{}, false
	}
	elapsed := now.Sub(j.Created)
	left := float64(j.Counts.Total-done) / float64(done)
	return now.Add(time.Duration(float64(elapsed) * left)), true
}

// Cancel returns the job as it is after a cancel was asked for. A job that has
// ended stays as it ended.
func (j Job) Cancel(now time.Time) (Job, error) {
	switch j.State {
	case Running:
		j.State = Cancelling
		j.Cancelled = &now
		return j, nil
	case Cancelling, Cancelled:
		return j, nil
	default:
		return j, apierr.Newf(apierr.Conflict, "its results are ready to be read", "job %s has already completed", j.ID)
	}
}

// End returns the job with its final counts.
func (j Job) End(now time.Time, counts Counts) Job {
	j.State = Completed
	if j.Cancelled != nil {
		j.State = Cancelled
	}
	j.Ended = &now
	j.Counts = counts
	return j
}

// Item is one line of input.
type Item struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// ResultLine is one line of output, in the form of the OpenAI batch API.
type ResultLine struct {
	ID       string       `json:"id"`
	CustomID string       `json:"custom_id"`
	Response *Response    `json:"response"`
	Error    *ResultError `json:"error"`
}

// Response is the answer to one item.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError is the error of an item that ended without an answer.
type ResultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Failed reports whether the item ended without a good answer.
func (r ResultLine) Failed() bool {
	return r.Error != nil || r.Response == nil || r.Response.StatusCode >= 300
}
