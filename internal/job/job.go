// Package job defines the batch job aggregate: its input file, its chunks and its
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

// The states of a job, in order. A job never returns to an earlier state.
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

// The states of a file, in order. Only a ready file can be read.
const (
	Uploading FileState = "uploading"
	Ready     FileState = "ready"
	Deleted   FileState = "deleted"
)

// File is the metadata of an input file, as the files API shows it.
type File struct {
	ID        string     `json:"id"`
	Team      string     `json:"team"`
	Filename  string     `json:"filename"`
	Purpose   string     `json:"purpose"`
	State     FileState  `json:"state"`
	Bytes     int64      `json:"bytes"`
	Digest    string     `json:"digest"` // of the lines, to recognize the same content
	Lines     []int      `json:"lines"`  // number of lines in each part
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

// FilePart holds consecutive whole lines of a file, compressed.
type FilePart struct {
	Data []byte `json:"data"` // zstd
}

// Job is a batch job. It has one chunk for each part of its file.
type Job struct {
	ID        string            `json:"id"`
	Team      string            `json:"team"`
	File      string            `json:"file"`
	Digest    string            `json:"digest"` // of the file's lines
	Window    time.Duration     `json:"window"`
	Endpoint  string            `json:"endpoint"`
	Lines     []int             `json:"lines"` // number of items in each chunk
	Metadata  map[string]string `json:"metadata,omitempty"`
	State     State             `json:"state"`
	Created   time.Time         `json:"created"`
	Deadline  time.Time         `json:"deadline"`
	Ended     *time.Time        `json:"ended,omitempty"`
	Cancelled *time.Time        `json:"cancel_asked,omitempty"`
	Counts    Counts            `json:"counts"` // final once the state is terminal
}

// Counts holds the number of items by outcome.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Done returns the number of items that have an outcome.
func (c Counts) Done() int { return c.Completed + c.Failed + c.Cancelled }

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Total + o.Total, c.Completed + o.Completed, c.Failed + o.Failed, c.Cancelled + o.Cancelled}
}

// SameAs reports whether the other job requests the same work, as a retried
// submission does.
func (j Job) SameAs(o Job) bool {
	return j.Team == o.Team && j.Digest == o.Digest && j.Endpoint == o.Endpoint &&
		j.Window == o.Window && maps.Equal(j.Metadata, o.Metadata)
}

// FinalCounts returns the final counts of the job, or false if the job can't end
// yet. A running job ends when all its chunks are done. A job that is being
// cancelled ends when all claimed chunks are done; the others are not dispatched
// any more and count as cancelled.
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

// ExpectedEnd extrapolates the job's end from its throughput so far. It returns
// false before the first item is done and after the job has ended.
func (j Job) ExpectedEnd(now time.Time) (time.Time, bool) {
	done := j.Counts.Done()
	if done == 0 || j.State.Terminal() {
		return time.Time{}, false
	}
	elapsed := now.Sub(j.Created)
	left := float64(j.Counts.Total-done) / float64(done)
	return now.Add(time.Duration(float64(elapsed) * left)), true
}

// Cancel returns the job after a cancel request. Cancelling again changes
// nothing; cancelling a completed job is a conflict.
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

// End returns the job in its terminal state, with its final counts. A job with a
// cancel request ends as cancelled.
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

// ResultLine is one line of output, in the format of the OpenAI batch API.
type ResultLine struct {
	ID       string       `json:"id"`
	CustomID string       `json:"custom_id"`
	Response *Response    `json:"response"`
	Error    *ResultError `json:"error"`
}

// Response is the HTTP response to one item.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError is the error of an item that has no response.
type ResultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Failed reports whether the item has no response or one with a status of 300 or
// more.
func (r ResultLine) Failed() bool {
	return r.Error != nil || r.Response == nil || r.Response.StatusCode >= 300
}
