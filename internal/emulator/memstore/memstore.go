// Package memstore emulates the platform's object API in memory. It uses no
// sockets, so that tests can run it under virtual time. Faults are injected for
// each client separately.
package memstore

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
)

type objectID struct {
	kind objstore.Kind
	name string
}

// Store holds the objects and their history. Create it with New.
type Store struct {
	mu           sync.Mutex
	version      int64
	objects      map[objectID]objstore.Object
	history      []objstore.Event
	eventTimes   []time.Time   // write times, parallel to history
	staleReadLag time.Duration // age of the state that stale reads return
	changed      chan struct{} // closed and replaced on each write
	countedCalls int           // calls other than stale reads
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[objectID]objstore.Object{}, changed: make(chan struct{})}
}

// SetStaleReadLag sets the age of the state that stale reads return.
func (s *Store) SetStaleReadLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleReadLag = lag
}

// Calls returns the number of calls that reached the store, excluding stale reads.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countedCalls
}

// Client returns a client whose calls have the given latency.
func (s *Store) Client(latency time.Duration) *Client {
	return &Client{store: s, latency: latency, partitionChanged: make(chan struct{})}
}

// Client implements objstore.Store and objstore.StaleGetter.
type Client struct {
	store *Store

	mu               sync.Mutex
	latency          time.Duration
	partitioned      bool
	staleWatch       bool
	responsesToLose  int
	partitionChanged chan struct{} // closed and replaced on SetPartitioned
}

// SetPartitioned partitions the client from the store, or reconnects it.
func (c *Client) SetPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
	close(c.partitionChanged)
	c.partitionChanged = make(chan struct{})
}

// SetLatency sets the latency of each call.
func (c *Client) SetLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = d
}

// SetStaleWatch controls whether watches stay open without delivering events.
func (c *Client) SetStaleWatch(stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.staleWatch = stale
}

// LoseWriteResponses makes the next n successful creates and updates return
// objstore.ErrAmbiguous, although they are applied.
func (c *Client) LoseWriteResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsesToLose = n
}

// beginCall waits for the call latency. It fails if the client is partitioned or
// ctx is done.
func (c *Client) beginCall(ctx context.Context) error {
	c.mu.Lock()
	timer := time.NewTimer(c.latency)
	c.mu.Unlock()
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(objstore.ErrUnavailable, ctx.Err().Error())
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned {
		return objstore.ErrUnavailable
	}
	return nil
}

// beginCountedCall is beginCall for calls that Store.Calls counts.
func (c *Client) beginCountedCall(ctx context.Context) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.countedCalls++
	return nil
}

// Get implements objstore.Store.
func (c *Client) Get(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	if err := c.beginCountedCall(ctx); err != nil {
		return objstore.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	o, ok := c.store.objects[objectID{kind, name}]
	if !ok {
		return objstore.Object{}, objstore.ErrNotFound
	}
	return o, nil
}

// GetStale implements objstore.StaleGetter.
func (c *Client) GetStale(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	if err := c.beginCall(ctx); err != nil {
		return objstore.Object{}, err
	}
	return c.store.staleObject(objectID{kind, name}, time.Now())
}

// staleObject returns the object as it was staleReadLag ago.
func (s *Store) staleObject(id objectID, now time.Time) (objstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.history) - 1; n >= 0; n-- {
		e := s.history[n]
		if e.Object.Kind != id.kind || e.Object.Name != id.name || s.eventTimes[n].After(now.Add(-s.staleReadLag)) {
			continue
		}
		if e.Type == objstore.EventDelete {
			break
		}
		return e.Object, nil
	}
	return objstore.Object{}, objstore.ErrNotFound
}

// Limits of one page of a list.
const (
	maxPageBytes   = 1 << 20
	maxPageObjects = 500
)

// List implements objstore.Store. It takes the latency of a call for each page.
func (c *Client) List(ctx context.Context, kind objstore.Kind, prefix string) ([]objstore.Object, int64, error) {
	if err := c.beginCountedCall(ctx); err != nil {
		return nil, 0, err
	}
	all, version := c.store.list(kind, prefix)
	size, count := 0, 0
	for _, o := range all {
		size += len(o.Value)
		count++
		if size <= maxPageBytes && count <= maxPageObjects {
			continue
		}
		size, count = len(o.Value), 1
		if err := c.beginCountedCall(ctx); err != nil {
			return nil, 0, err
		}
	}
	return all, version, nil
}

func (s *Store) list(kind objstore.Kind, prefix string) ([]objstore.Object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []objstore.Object
	for id, o := range s.objects {
		if id.kind == kind && strings.HasPrefix(id.name, prefix) {
			all = append(all, o)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all, s.version
}

// Create implements objstore.Store.
func (c *Client) Create(ctx context.Context, kind objstore.Kind, name string, value any) (objstore.Object, error) {
	return c.write(ctx, kind, name, 0, value)
}

// Update implements objstore.Store.
func (c *Client) Update(ctx context.Context, kind objstore.Kind, name string, version int64, value any) (objstore.Object, error) {
	return c.write(ctx, kind, name, version, value)
}

func (c *Client) write(ctx context.Context, kind objstore.Kind, name string, version int64, value any) (objstore.Object, error) {
	spec, err := json.Marshal(value)
	if err != nil {
		return objstore.Object{}, errors.Wrap(err, "encode value")
	}
	if len(spec) > objstore.MaxValueBytes {
		return objstore.Object{}, objstore.ErrTooLarge
	}
	if err := c.beginCountedCall(ctx); err != nil {
		return objstore.Object{}, err
	}
	o, err := c.store.put(objectID{kind, name}, version, spec)
	if err != nil {
		return o, err
	}
	return o, c.consumeLostResponse()
}

// consumeLostResponse returns objstore.ErrAmbiguous if the response to this write
// is to be lost.
func (c *Client) consumeLostResponse() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responsesToLose == 0 {
		return nil
	}
	c.responsesToLose--
	return objstore.ErrAmbiguous
}

func (s *Store) put(id objectID, version int64, spec json.RawMessage) (objstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[id].Version != version {
		return objstore.Object{}, objstore.ErrConflict
	}
	s.version++
	o := objstore.Object{Kind: id.kind, Name: id.name, Version: s.version, Value: spec}
	s.objects[id] = o
	s.record(objstore.Event{Type: objstore.EventPut, Object: o})
	return o, nil
}

// Delete implements objstore.Store.
func (c *Client) Delete(ctx context.Context, kind objstore.Kind, name string, version int64) error {
	if err := c.beginCountedCall(ctx); err != nil {
		return err
	}
	s, id := c.store, objectID{kind, name}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[id]
	if ok && o.Version != version {
		return objstore.ErrConflict
	}
	if ok {
		s.version++
		delete(s.objects, id)
		s.record(objstore.Event{Type: objstore.EventDelete, Object: objstore.Object{Kind: kind, Name: name, Version: s.version}})
	}
	return nil
}

// record appends to the history and wakes the watchers. The caller holds mu.
func (s *Store) record(e objstore.Event) {
	s.history = append(s.history, e)
	s.eventTimes = append(s.eventTimes, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements objstore.Store.
func (c *Client) Watch(ctx context.Context, kind objstore.Kind, after int64) (objstore.Watcher, error) {
	if err := c.beginCountedCall(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	return &watcher{ctx: ctx, cancel: cancel, client: c, kind: kind, after: after}, nil
}

type watcher struct {
	ctx    context.Context
	cancel context.CancelFunc
	client *Client
	kind   objstore.Kind
	after  int64
	next   int // index of the next history event to examine
}

// Next implements objstore.Watcher.
func (w *watcher) Next() (objstore.Event, error) {
	s := w.client.store
	for {
		w.client.mu.Lock()
		partitioned, stale, partitionChanged := w.client.partitioned, w.client.staleWatch, w.client.partitionChanged
		w.client.mu.Unlock()
		if partitioned {
			return objstore.Event{}, objstore.ErrUnavailable
		}
		s.mu.Lock()
		changed := s.changed
		for !stale && w.next < len(s.history) {
			e := s.history[w.next]
			w.next++
			if e.Object.Kind == w.kind && e.Object.Version > w.after {
				s.mu.Unlock()
				return e, nil
			}
		}
		s.mu.Unlock()
		select {
		case <-w.ctx.Done():
			return objstore.Event{}, objstore.ErrUnavailable
		case <-partitionChanged:
		case <-changed:
		}
	}
}

// Close implements objstore.Watcher.
func (w *watcher) Close() { w.cancel() }
