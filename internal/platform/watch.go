package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Watch implements Store. A watch that stays silent past the bookmark interval
// ends with ErrUnavailable, because its connection may have gone silent.
func (c *Client) Watch(ctx context.Context, kind Kind, after int64) (Watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	target := c.base + "/v1/watch/" + string(kind) + "?after=" + strconv.FormatInt(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "build watch")
	}
	idle := time.AfterFunc(watchIdleTimeout, cancel)
	resp, err := c.http.Do(req)
	c.observe.PlatformCall("WATCH", err)
	if err != nil {
		cancel()
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if err := statusError(resp); err != nil {
		cancel()
		_ = resp.Body.Close()
		return nil, errors.Wrapf(err, "watch %s", kind)
	}
	c.observe.PlatformWatches(1)
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, watchLineMaxByte)
	return &watcher{client: c, body: resp.Body, lines: scanner, cancel: cancel, idle: idle}, nil
}

type watcher struct {
	client *Client
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
	idle   *time.Timer
	closed sync.Once
}

// Next implements Watcher.
func (w *watcher) Next() (Event, error) {
	if !w.lines.Scan() {
		return Event{}, errors.Wrap(ErrUnavailable, "watch ended")
	}
	w.idle.Reset(watchIdleTimeout)
	var e Event
	if err := json.Unmarshal(w.lines.Bytes(), &e); err != nil {
		return Event{}, errors.Wrap(ErrUnavailable, "watch sent a broken line")
	}
	if e.Type == eventExpired {
		return Event{}, ErrExpired
	}
	if e.Type != EventPut {
		return e, nil
	}
	_, err := w.client.unwrap(&e.Object)
	return e, err
}

const eventExpired EventType = "expired"

// Close implements Watcher.
func (w *watcher) Close() {
	w.closed.Do(func() { w.client.observe.PlatformWatches(-1) })
	w.idle.Stop()
	w.cancel()
	_ = w.body.Close()
}

// Follow keeps a consumer up to date with a kind: it lists, calls reset with
// the whole list, then apply for every change, and starts over with a new
// connection whenever the watch ends. It returns when ctx is done.
func Follow(ctx context.Context, store Store, kind Kind, reset func([]Object, int64), apply func(Event)) {
	backoff := settleBackoff
	for ctx.Err() == nil {
		started := time.Now()
		followOnce(ctx, store, kind, reset, apply)
		if time.Since(started) > settleBackoffMax {
			backoff = settleBackoff
		}
		if !sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, settleBackoffMax)
	}
}

func followOnce(ctx context.Context, store Store, kind Kind, reset func([]Object, int64), apply func(Event)) {
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
