// Package jobs runs batch jobs whose items are streams.
//
// Contract: a job is accepted once, by the conditional creation of its object
// in the platform's store. A result is shown only once it is written, at the
// position that it keeps: results are written in segments whose names are
// numbered, each by a conditional creation, so that two hosts which run the same
// job can't give a position twice. The host that runs a job is therefore no
// matter of safety; running an item twice only costs time.
package jobs

import (
	"time"
)

// Item is one request of a job.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Tokens int64             `json:"tokens"` // of the prompt, and at most of the output
}

// Submission is a job as a caller hands it in.
type Submission struct {
	ID    string
	Host  string // name that the caller used, which selects the route
	Path  string
	Key   string
	Items []Item
}

// Result is the end of one item.
type Result struct {
	ID     string `json:"id"`
	Failed bool   `json:"failed,omitempty"` // given up
	Output []byte `json:"output,omitempty"`
}

// Page is a part of a job's results.
type Page struct {
	Total   int // items of the job
	Results []Result
}

// record is a job as it is stored. Items stand in parts of their own where
// they don't fit.
type record struct {
	Team        string `json:"team"`
	Route       string `json:"route"`
	Host        string `json:"host"`
	AcceptedBy  string `json:"owner"` // host that accepted the job
	SubmittedMS int64  `json:"submitted_ms"`
	Total       int    `json:"total"`
	PartCount   int    `json:"parts,omitempty"`
	Items       []Item `json:"items,omitempty"`
}

// state is what changes of a job, as it is stored. A job without one is run by
// the host that accepted it.
type state struct {
	Owner     string `json:"owner"`
	Cancelled bool   `json:"ended,omitempty"` // by its caller
	Done      bool   `json:"done,omitempty"`  // every item has a result
}

// segment is a part of a job's results, as it is stored. One without results
// fences off the host that ran the job before: its next segment finds the name
// taken.
type segment struct {
	Writer  string   `json:"writer"` // incarnation of a host
	Results []Result `json:"results"`
}

type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	itemFinished
)

// item is an item with its progress.
type item struct {
	Item
	job       *job
	state     itemState
	output    []byte
	events    int
	lastID    string
	failures  int       // answers that count as failed attempts
	stalls    int       // runs in a row that ended without an event
	notBefore time.Time // of the next run
	cancelRun func()
}

// job is a job that this host runs. The runner's mutex guards it.
type job struct {
	id           string
	record       record
	items        []*item
	byID         map[string]*item
	results      []Result // that are written
	segments     int
	pending      []Result // that are not written yet
	changed      chan struct{}
	cancelled    bool // by its caller
	cancelStored bool // the end stands in the store, so no other host takes the job over
	unverified   bool // another host may run it by now
	fenced       bool // another host has written a segment
	writing      bool
	due          time.Time
	deadline     time.Time // when items may be given up
}

func newJob(id string, r record, due, retention time.Duration) *job {
	submitted := time.UnixMilli(r.SubmittedMS)
	j := &job{
		id: id, record: r, byID: map[string]*item{}, changed: make(chan struct{}),
		due: submitted.Add(due), deadline: submitted.Add(retention),
	}
	for _, x := range r.Items {
		i := &item{Item: x, job: j}
		j.items = append(j.items, i)
		j.byID[x.ID] = i
	}
	return j
}

// isDone reports whether every item has a written result.
func (j *job) isDone() bool { return len(j.results) >= j.record.Total }

// hasWork reports whether the job has work left.
func (j *job) hasWork() bool { return !j.cancelled && !j.isDone() }

// isFinal reports whether no other host can have results that this one lacks.
func (j *job) isFinal() bool { return j.isDone() || j.cancelled && j.cancelStored }

// notifyReaders wakes the readers.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// applySegment takes a written segment in and drops its items from what is pending.
func (j *job) applySegment(s segment) {
	for _, r := range s.Results {
		i, known := j.byID[r.ID]
		if !known {
			continue
		}
		if i.cancelRun != nil {
			i.cancelRun()
		}
		i.state = itemFinished
		i.output = nil
		j.results = append(j.results, r)
	}
	j.segments++
	kept := j.pending[:0]
	for _, r := range j.pending {
		if !j.hasResult(r.ID) {
			kept = append(kept, r)
		}
	}
	j.pending = kept
	j.notifyReaders()
}

func (j *job) hasResult(id string) bool {
	for _, r := range j.results {
		if r.ID == id {
			return true
		}
	}
	return false
}

// finishItem notes the result of an item, which is to be written.
func (j *job) finishItem(i *item, failed bool) {
	if i.state == itemFinished {
		return
	}
	i.state = itemFinished
	r := Result{ID: i.ID, Failed: failed}
	if !failed {
		r.Output = i.output
	}
	i.output = nil
	j.pending = append(j.pending, r)
}

// waitingTokens returns the tokens of the items that no upstream has finished.
func (j *job) waitingTokens() int64 {
	if j.cancelled {
		return 0
	}
	var sum int64
	for _, i := range j.items {
		if i.state != itemFinished {
			sum += i.Tokens
		}
	}
	return sum
}
