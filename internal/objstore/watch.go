package objstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	defaultPollWait        = 10 * time.Second // how long one poll waits for a change
	defaultResponseTimeout = 3 * time.Second  // time for the response in addition to the wait
)

// Watch implements Store. The watch ends with ErrUnavailable if a poll times out,
// because the connection may be dead.
func (c *Client) Watch(ctx context.Context, kind Kind, after int64) (Watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	c.observer.AddPlatformWatches(1)
	w := &watcher{client: c, ctx: ctx, cancel: cancel, kind: kind, after: after}
	if slices.Contains(c.spacedKinds, kind) {
		w.interval = c.pollInterval
	}
	return w, nil
}

type watcher struct {
	client    *Client
	ctx       context.Context
	cancel    context.CancelFunc
	kind      Kind
	after     int64
	buffered  []Event
	interval  time.Duration // least time between two polls
	polledAt  time.Time     // when the last poll began
	closeOnce sync.Once
}

// Next implements Watcher.
func (w *watcher) Next() (Event, error) {
	for len(w.buffered) == 0 {
		changes, err := w.poll()
		w.client.observer.ObservePlatformCall("WATCH", err)
		if err != nil {
			return Event{}, watchError(err)
		}
		w.after = max(w.after, changes.Version)
		w.buffered = changes.Events
		if len(w.buffered) == 0 {
			return Event{Type: EventBookmark, Object: Object{Kind: w.kind, Version: w.after}}, nil
		}
	}
	e := w.buffered[0]
	w.buffered = w.buffered[1:]
	if e.Type == EventPut {
		w.client.unwrap(&e.Object)
	}
	return e, nil
}

func (w *watcher) poll() (Changes, error) {
	if pause := w.interval - time.Since(w.polledAt); pause > 0 && !w.polledAt.IsZero() {
		w.client.sleep(w.ctx, pause)
	}
	w.polledAt = time.Now()
	ctx, cancel := context.WithTimeout(w.ctx, w.client.pollWait+w.client.responseTimeout)
	defer cancel()
	return w.client.transport.Poll(ctx, w.kind, w.after, w.client.pollWait)
}

// watchError passes on ErrExpired and turns all other errors into ErrUnavailable.
func watchError(err error) error {
	if errors.Is(err, ErrExpired) {
		return err
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

// Close implements Watcher.
func (w *watcher) Close() {
	w.closeOnce.Do(func() { w.client.observer.AddPlatformWatches(-1) })
	w.cancel()
}

// ListAndWatch keeps a consumer up to date with a kind. It lists the objects and
// calls reset with the whole list, then watches and calls apply for every event.
// Whenever the watch ends, it starts over after a backoff. It returns when ctx is
// done.
func ListAndWatch(ctx context.Context, store Store, kind Kind, reset func([]Object, int64), apply func(Event)) {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		listAndWatchOnce(ctx, store, kind, reset, apply)
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		if !sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func listAndWatchOnce(ctx context.Context, store Store, kind Kind, reset func([]Object, int64), apply func(Event)) {
	objects, version, err := store.List(ctx, kind, "")
	if err != nil {
		return
	}
	reset(objects, version)
	w, err := store.Watch(ctx, kind, version)
	if err != nil {
		return
	}
	defer w.Close()
	for {
		event, err := w.Next()
		if err != nil {
			return
		}
		apply(event)
	}
}
