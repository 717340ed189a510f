// Package jobs runs batch jobs whose items return event streams.
//
// A job is accepted exactly once, by a conditional create of its object in the
// platform's store. Results are readable only after they are stored, and their
// positions never change: they form a log of numbered segments, each written by
// a conditional create, so two hosts that run the same job can't assign one
// position twice. Safety therefore doesn't depend on job ownership: an item that
// runs on two hosts only costs time.
package jobs

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/quarantine"
)

// Item is a single request of a job.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Tokens int64             `json:"tokens"` // prompt tokens plus the maximum of output tokens

	PromptParts []string `json:"prompt_parts,omitempty"` // IDs of the parts of the prompt that requests share, in order
}

// encodedSize estimates the size of the item's stored form.
func (i *Item) encodedSize() int {
	size := itemOverhead + len(i.ID) + len(i.Path) + base64.StdEncoding.EncodedLen(len(i.Body))
	for name, value := range i.Header {
		size += fieldOverhead + len(name) + len(value)
	}
	for _, part := range i.PromptParts {
		size += fieldOverhead + len(part)
	}
	return size
}

// Submission is a job as submitted by a caller.
type Submission struct {
	ID    string
	Host  string // from the Host header; selects the route
	Path  string
	Key   string
	Items []Item

	Reserved int64 // bytes that the host holds for the submission until it is answered; 0 if they aren't bounded
}

// Result is the final result of an item.
type Result struct {
	ID     string `json:"id"`
	Failed bool   `json:"failed,omitempty"` // the item was given up and has no output
	Output []byte `json:"output,omitempty"`
}

// Page is a contiguous range of a job's results.
type Page struct {
	Total   int // number of items in the job
	Results []Result
}

// record is the immutable stored form of a job. Items that don't fit into the
// job's object are stored in separate part objects.
type record struct {
	Team          string `json:"team"`
	Route         string `json:"route"`
	Host          string `json:"host"`
	AcceptedBy    string `json:"owner"`
	ConfigVersion int64  `json:"config_version,omitempty"` // at the acceptance; zero in older records
	DueMS         int64  `json:"due_ms,omitempty"`         // after the submission, from the route
	RetentionMS   int64  `json:"retention_ms,omitempty"`   // after the submission, from the route
	SubmittedMS   int64  `json:"submitted_ms"`
	Total         int    `json:"total"`
	PartCount     int    `json:"parts,omitempty"`
	PartDigest    string `json:"part_digest,omitempty"` // of the items; part of the names of parts, but for older records
	Items         []Item `json:"items,omitempty"`
}

// partName returns the name of part n of the job.
func (r *record) partName(id string, n int) string {
	if r.PartDigest == "" {
		return numberedName(id, n)
	}
	return numberedName(id+"."+r.PartDigest, n)
}

// knowsRemoval reports whether a configuration without the job's route shows that the
// route was removed. An older configuration than that of the acceptance shows nothing.
func (r *record) knowsRemoval(config *fleet.Config) bool {
	return config.Version >= r.ConfigVersion
}

// terms returns the due time and the retention of the job, counted from its submission.
// Records without a configuration version lack them; then those of the route count.
func (r *record) terms(route *fleet.Route) (due, retention time.Duration) {
	if r.ConfigVersion > 0 {
		return time.Duration(r.DueMS) * time.Millisecond, time.Duration(r.RetentionMS) * time.Millisecond
	}
	if route == nil {
		return 0, 0
	}
	return route.Batch.Due, route.Batch.Retention
}

// state is the mutable stored state of a job. A job without a stored state is
// owned by the host that accepted it.
type state struct {
	Owner     string `json:"owner"`
	Cancelled bool   `json:"ended,omitempty"` // by the caller
	Done      bool   `json:"done,omitempty"`  // every item has a stored result
}

// segment is a stored part of a job's results. A new owner writes an empty
// segment to fence off the previous owner, whose next create then fails with a
// conflict.
type segment struct {
	Writer  string        `json:"writer"` // incarnation of the host
	Results []Result      `json:"results"`
	Large   []largeOutput `json:"large,omitempty"` // only in the stored form
}

type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	itemFinished
)

// item is an Item with its progress.
type item struct {
	Item
	job        *job
	state      itemState
	output     []byte
	events     int
	lastID     string
	failures   int           // responses of 500
	failedAt   []string      // IDs of upstreams that failed runs since the last new event, the latest last
	breaks     int           // consecutive runs that broke off without a new event or had an unexpected response
	silences   int           // of those, runs that were silent; the idle timeout grows with them
	unresumed  int           // consecutive unexpected responses to runs that were to resume the item
	notBefore  time.Time     // earliest start of the next run
	cancelRun  func()        // nil while the item isn't running
	runStarted time.Time     // of the last run
	ranFor     time.Duration // sum over the runs that added the present events

	deferred    bool        // by the last plan; runs after the items that can be in time
	contested   bool        // the last plan has deferred items of the item's team
	held        bool        // its wait for a quarantined part of its prompt was logged
	probesParts bool        // its run shows whether parts of its prompt are sound that aren't known to be
	awaitsPart  bool        // waits for the run of another item that does
	slot        *entry.Slot // nil while the item isn't running
	preemptible bool        // the run was made preemptible, since the item is deferred
	yielding    bool        // the run was stopped for an item that can be in time

	content *quarantine.Fingerprint // nil until it is needed
}

func (i *item) key() entry.ItemKey { return entry.ItemKey{Job: i.job.id, Item: i.ID} }

// fingerprint returns the fingerprint of the item's content, by which operators find its
// runs in logs.
func (i *item) fingerprint() quarantine.Fingerprint {
	if i.content == nil {
		f := entry.FingerprintOf(i.job.record.Team, http.MethodPost, i.job.record.Host, i.Path, i.Body)
		i.content = &f
	}
	return *i.content
}

// job is the in-memory state of a job that this host runs or ran. It is guarded
// by Runner.mu.
type job struct {
	id           string
	record       record
	bytes        int64 // memory of the items
	items        []*item
	byID         map[string]*item
	results      []Result // stored results
	segments     int
	pending      []Result      // results that are not stored yet
	changed      chan struct{} // closed when results arrive or the job is cancelled
	cancelled    bool          // by the caller
	cancelStored bool          // in the store too, so no other host takes the job over
	unverified   bool          // another host may own the job by now
	marks        int           // number of calls of markUnverified
	target       string        // peer to which a stopping host transfers the job
	fenced       bool          // another host has written a segment; no writes until verified
	writing      bool          // a goroutine is writing segments
	writeBackoff time.Duration // since the last failed write; zero after a success
	nextWrite    time.Time     // earliest retry of a failed write
	awaitsConfig bool          // logged that this host's configuration is older than the job
	due          time.Time
	deadline     time.Time // after which unfinished items are given up
}

func newJob(id string, r record, route *fleet.Route) *job {
	submitted := time.UnixMilli(r.SubmittedMS)
	due, retention := r.terms(route)
	j := &job{
		id: id, record: r, bytes: r.bytes(), byID: map[string]*item{}, changed: make(chan struct{}),
		due: submitted.Add(due), deadline: submitted.Add(retention),
	}
	for _, x := range r.Items {
		i := &item{Item: x, job: j}
		j.items = append(j.items, i)
		j.byID[x.ID] = i
	}
	return j
}

func (j *job) backlog() mesh.Backlog {
	return mesh.Backlog{Route: j.record.Route, Team: j.record.Team}
}

// isDone reports whether every item has a stored result.
func (j *job) isDone() bool { return len(j.results) >= j.record.Total }

// hasWork reports whether the job may still get results.
func (j *job) hasWork() bool { return !j.cancelled && !j.isDone() }

// markUnverified stops the job from being run, announced and served until a verification
// that begins from now on.
func (j *job) markUnverified() {
	j.unverified = true
	j.marks++
}

// isFinal reports whether no other host can have stored results that this host
// doesn't know.
func (j *job) isFinal() bool { return j.isDone() || j.cancelled && j.cancelStored }

// notifyReaders wakes the reads that wait for results.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// applySegment appends the results of a stored segment and removes them from the
// pending results.
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

// finishItem marks the item as finished and queues its result for writing.
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

// waitingTokens returns the sum of the tokens of all unfinished items.
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
