// Package memstore is a stand-in for the platform's object API in memory. It
// has no sockets, so that it runs under virtual time. Each client has failures
// of its own.
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

// Store holds the objects. Create it with New.
type Store struct {
	mu      sync.Mutex
	version int64
	objects map[objectID]objstore.Object
	history []objstore.Event
	times   []time.Time   // of the history's events
	lag     time.Duration // by which stale reads are behind
	changed chan struct{} // closed and replaced at each write
	calls   int           // at full price
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[objectID]objstore.Object{}, changed: make(chan struct{})}
}

// SetStaleReadLag sets by how much stale reads are behind.
func (s *Store) SetStaleReadLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Calls returns the number of calls that reached the store, without stale reads.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Client returns a client whose calls take the time.
func (s *Store) Client(latency time.Duration) *Client {
	return &Client{store: s, latency: latency, faulted: make(chan struct{})}
}

// Client implements objstore.Store and objstore.StaleGetter.
type Client struct {
	store *Store

	mu       sync.Mutex
	latency  time.Duration
	down     bool
	stale    bool
	loseNext int
	faulted  chan struct{} // closed and replaced when the client goes down
}

// SetPartitioned cuts the client off from the store, or connects it again.
func (c *Client) SetPartitioned(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	close(c.faulted)
	c.faulted = make(chan struct{})
}

// SetLatency sets the time that each call takes.
func (c *Client) SetLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = d
}

// SetStaleWatch keeps watches open without events.
func (c *Client) SetStaleWatch(stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = stale
}

// LoseWriteResponses makes the next writes take effect without an answer.
func (c *Client) LoseWriteResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseNext = n
}

// enter lets a call travel; it fails when the client is cut off.
func (c *Client) enter(ctx context.Context) error {
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
	if c.down {
		return objstore.ErrUnavailable
	}
	return nil
}

// enterPriced lets a call travel that counts at its full price.
func (c *Client) enterPriced(ctx context.Context) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.calls++
	return nil
}

// Get implements objstore.Store.
func (c *Client) Get(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	if err := c.enterPriced(ctx); err != nil {
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
	if err := c.enter(ctx); err != nil {
		return objstore.Object{}, err
	}
	return c.store.before(objectID{kind, name}, time.Now())
}

// before returns the object as it was the lag ago.
func (s *Store) before(id objectID, now time.Time) (objstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.history) - 1; n >= 0; n-- {
		e := s.history[n]
		if e.Object.Kind != id.kind || e.Object.Name != id.name || s.times[n].After(now.Add(-s.lag)) {
			continue
		}
		if e.Type == objstore.EventDelete {
			break
		}
		return e.Object, nil
	}
	return objstore.Object{}, objstore.ErrNotFound
}

// List implements objstore.Store.
func (c *Client) List(ctx context.Context, kind objstore.Kind, prefix string) ([]objstore.Object, int64, error) {
	if err := c.enterPriced(ctx); err != nil {
		return nil, 0, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	var all []objstore.Object
	for id, o := range c.store.objects {
		if id.kind == kind && strings.HasPrefix(id.name, prefix) {
			all = append(all, o)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all, c.store.version, nil
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
	if err := c.enterPriced(ctx); err != nil {
		return objstore.Object{}, err
	}
	o, err := c.store.put(objectID{kind, name}, version, spec)
	if err != nil {
		return o, err
	}
	return o, c.answer()
}

// answer loses the answer to a write where that is due.
func (c *Client) answer() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loseNext == 0 {
		return nil
	}
	c.loseNext--
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
	if err := c.enterPriced(ctx); err != nil {
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

// record appends to the history and wakes the watches; the caller holds mu.
func (s *Store) record(e objstore.Event) {
	s.history = append(s.history, e)
	s.times = append(s.times, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements objstore.Store.
func (c *Client) Watch(ctx context.Context, kind objstore.Kind, after int64) (objstore.Watcher, error) {
	if err := c.enterPriced(ctx); err != nil {
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
	next   int // position in the history
}

// Next implements objstore.Watcher.
func (w *watcher) Next() (objstore.Event, error) {
	s := w.client.store
	for {
		w.client.mu.Lock()
		down, stale, faulted := w.client.down, w.client.stale, w.client.faulted
		w.client.mu.Unlock()
		if down {
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
		case <-faulted:
		case <-changed:
		}
	}
}

// Close implements objstore.Watcher.
func (w *watcher) Close() { w.cancel() }
