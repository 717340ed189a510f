package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// memoryStore is a platform in memory that all hosts of a test share.
type memoryStore struct {
	mu       sync.Mutex
	version  int64
	objects  map[string]objstore.Object
	history  []objstore.Event
	changed  chan struct{}
	down     bool
	loseNext int // writes that take effect and end as ambiguous
	writes   map[objstore.Kind]int
	reads    int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]objstore.Object{}, changed: make(chan struct{}), writes: map[objstore.Kind]int{}}
}

func (s *memoryStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func objectKey(kind objstore.Kind, name string) string { return string(kind) + "/" + name }

func (s *memoryStore) Get(_ context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	o, ok := s.objects[objectKey(kind, name)]
	if !ok {
		return o, objstore.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) List(_ context.Context, kind objstore.Kind, prefix string) ([]objstore.Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, 0, objstore.ErrUnavailable
	}
	var all []objstore.Object
	for _, o := range s.objects {
		if o.Kind == kind && strings.HasPrefix(o.Name, prefix) {
			all = append(all, o)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all, s.version, nil
}

func (s *memoryStore) Create(_ context.Context, kind objstore.Kind, name string, v any) (objstore.Object, error) {
	return s.write(kind, name, 0, v)
}

func (s *memoryStore) Update(_ context.Context, kind objstore.Kind, name string, version int64, v any) (objstore.Object, error) {
	return s.write(kind, name, version, v)
}

func (s *memoryStore) write(kind objstore.Kind, name string, version int64, v any) (objstore.Object, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return objstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	if s.objects[objectKey(kind, name)].Version != version {
		return objstore.Object{}, objstore.ErrConflict
	}
	if len(text) > objstore.MaxValueBytes {
		return objstore.Object{}, objstore.ErrTooLarge
	}
	s.version++
	s.writes[kind]++
	o := objstore.Object{Kind: kind, Name: name, Version: s.version, Value: text}
	s.objects[objectKey(kind, name)] = o
	s.record(objstore.Event{Type: objstore.EventPut, Object: o})
	if s.loseNext > 0 {
		s.loseNext--
		return objstore.Object{}, objstore.ErrAmbiguous
	}
	return o, nil
}

func (s *memoryStore) record(e objstore.Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) Delete(_ context.Context, kind objstore.Kind, name string, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objstore.ErrUnavailable
	}
	if s.objects[objectKey(kind, name)].Version != version {
		return objstore.ErrConflict
	}
	delete(s.objects, objectKey(kind, name))
	s.version++
	s.record(objstore.Event{Type: objstore.EventDelete, Object: objstore.Object{Kind: kind, Name: name, Version: s.version}})
	return nil
}

func (s *memoryStore) Watch(ctx context.Context, kind objstore.Kind, after int64) (objstore.Watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	return &memoryWatcher{stale: func() bool { return false }, store: s, kind: kind, after: after, ctx: ctx, cancel: cancel}, nil
}

// hostView is the platform as one host sees it. A stale view's watches deliver
// nothing.
type hostView struct {
	*memoryStore
	stale atomic.Bool
	dead  atomic.Bool // reaches the platform no more
}

func (v *hostView) Get(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	if v.dead.Load() {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	return v.memoryStore.Get(ctx, kind, name)
}

func (v *hostView) List(ctx context.Context, kind objstore.Kind, prefix string) ([]objstore.Object, int64, error) {
	if v.dead.Load() {
		return nil, 0, objstore.ErrUnavailable
	}
	return v.memoryStore.List(ctx, kind, prefix)
}

func (v *hostView) Create(ctx context.Context, kind objstore.Kind, name string, value any) (objstore.Object, error) {
	return v.Update(ctx, kind, name, 0, value)
}

func (v *hostView) Update(_ context.Context, kind objstore.Kind, name string, version int64, value any) (objstore.Object, error) {
	if v.dead.Load() {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	return v.write(kind, name, version, value)
}

func (v *hostView) Delete(ctx context.Context, kind objstore.Kind, name string, version int64) error {
	if v.dead.Load() {
		return objstore.ErrUnavailable
	}
	return v.memoryStore.Delete(ctx, kind, name, version)
}

func (v *hostView) Watch(ctx context.Context, kind objstore.Kind, after int64) (objstore.Watcher, error) {
	w, err := v.memoryStore.Watch(ctx, kind, after)
	w.(*memoryWatcher).stale = v.stale.Load
	return w, err
}

type memoryWatcher struct {
	stale  func() bool
	store  *memoryStore
	kind   objstore.Kind
	after  int64
	ctx    context.Context
	cancel context.CancelFunc
}

func (w *memoryWatcher) Close() { w.cancel() }

func (w *memoryWatcher) Next() (objstore.Event, error) {
	for {
		for w.stale() && w.ctx.Err() == nil {
			pause(w.ctx, scanInterval)
		}
		w.store.mu.Lock()
		changed := w.store.changed
		for _, e := range w.store.history {
			if e.Object.Version > w.after && e.Object.Kind == w.kind {
				w.after = e.Object.Version
				w.store.mu.Unlock()
				return e, nil
			}
		}
		w.store.mu.Unlock()
		select {
		case <-changed:
		case <-w.ctx.Done():
			return objstore.Event{}, objstore.ErrUnavailable
		}
	}
}

// fleet is the membership that the hosts of a test share. A host that is
// silenced does not renew its lease.
type fleet struct {
	mu    sync.Mutex
	hosts map[string]*fakeHost
}

type fakeHost struct {
	membership.Host
	silent time.Time // since when it does not renew; zero while it does
}

func newFleet(names ...string) *fleet {
	f := &fleet{hosts: map[string]*fakeHost{}}
	for _, name := range names {
		f.hosts[name] = &fakeHost{Host: membership.Host{Name: name, Epoch: 1, State: membership.Live}}
	}
	return f
}

func (f *fleet) silence(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.hosts[name]; h.silent.IsZero() {
		h.silent = time.Now()
	}
}

func (f *fleet) renew(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[name].silent = time.Time{}
}

func (h *fakeHost) silentFor() time.Duration {
	if h.silent.IsZero() {
		return 0
	}
	return time.Since(h.silent)
}

// feed is the fleet as one host sees it.
type feed struct {
	fleet *fleet
	name  string
}

func (f feed) Self() membership.Host {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.hosts[f.name].Host
}

func (f feed) HoldsLease() bool {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.hosts[f.name].silentFor() < membership.LeaseTime
}

func (f feed) Members() []membership.Host {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	var all []membership.Host
	for _, h := range f.fleet.hosts {
		if h.Name == f.name || h.silentFor() < membership.LapseTime {
			all = append(all, h.Host)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func (f feed) Lapsed(o membership.Owner) bool {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	h := f.fleet.hosts[o.Host]
	return h.Epoch > o.Epoch || h.silentFor() > membership.LapseTime
}

// engine is an Executor whose answers are a function of the item. Items named
// "bad" never succeed, "busy" are turned away at first, "refused" get a 400.
type engine struct {
	time  time.Duration
	queue time.Duration // wait before the dispatch, as in admission

	mu   sync.Mutex
	runs map[string]int
	last time.Time // of the last dispatch
}

func newEngine(d time.Duration) *engine { return &engine{time: d, runs: map[string]int{}} }

func (e *engine) Execute(ctx context.Context, t Task) (job.ResultLine, error) {
	item := t.Item
	if pause(ctx, e.queue); t.Permit() != nil {
		return job.ResultLine{}, errNotPermitted
	}
	e.mu.Lock()
	e.runs[item.CustomID]++
	run := e.runs[item.CustomID]
	e.last = time.Now()
	e.mu.Unlock()
	if e.time > 0 {
		pause(ctx, e.time)
	}
	if ctx.Err() != nil {
		return job.ResultLine{}, ctx.Err()
	}
	switch kindOf(item.CustomID) {
	case "bad":
		return job.ResultLine{}, errors.New("the upstream broke off")
	case "busy":
		if run <= 2 {
			return job.ResultLine{}, ErrBusy
		}
	case "refused":
		return answer(item, 400), nil
	}
	return answer(item, 200), nil
}

func (e *engine) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.runs {
		total += n
	}
	return total
}

func answer(item job.Item, status int) job.ResultLine {
	return job.ResultLine{ID: "item", CustomID: item.CustomID,
		Response: &job.Response{StatusCode: status, Body: json.RawMessage(fmt.Sprintf("%q", "answer to "+item.CustomID))}}
}

var _ Executor = (*engine)(nil)

func kindOf(customID string) string {
	kind, _, _ := strings.Cut(customID, "-")
	return kind
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// The codecs make their channels at first use, which must not be in a bubble of
// virtual time.
func init() {
	if _, err := job.Decompress(job.Compress([]byte("warm up"))); err != nil {
		panic(err)
	}
}

var testMetrics = telemetry.NewMetrics()

// host is one runner of a test.
type host struct {
	stop context.CancelFunc
	done chan struct{}
	view *hostView
}

func startHost(memory *memoryStore, f *fleet, name string, e Executor) host {
	ctx, cancel := context.WithCancel(context.Background())
	store := &hostView{memoryStore: memory}
	r := NewRunner(NewRepository(store), store, e, feed{f, name}, testMetrics, quietLog())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	return host{cancel, done, store}
}

// kill ends a host so that nothing more of it reaches the platform.
func (h host) kill() {
	h.view.dead.Store(true)
	h.shutdown()
}

// shutdown stops a host as an operator does.
func (h host) shutdown() {
	h.stop()
	<-h.done
}

// inputOf returns a file's text with one line for each custom id.
func inputOf(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`+"\n", id)
	}
	return b.String()
}

func idsOf(kinds []string) []string {
	ids := make([]string, len(kinds))
	for i, kind := range kinds {
		ids[i] = fmt.Sprintf("%s-%d", kind, i)
	}
	return ids
}

// submit uploads the items as a job.
func submit(s *Service, ids []string) (job.Job, error) {
	ctx := context.Background()
	f, err := s.Upload(ctx, Upload{Team: "t", Purpose: "batch"}, strings.NewReader(inputOf(ids...)))
	if err != nil {
		return job.Job{}, err
	}
	return s.Submit(ctx, Submission{Team: "t", File: f.ID, Endpoint: "/v1/chat/completions", IdempotencyKey: "k"})
}

// restart begins a host's next incarnation.
func (f *fleet) restart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[name].Epoch++
	f.hosts[name].silent = time.Time{}
}
