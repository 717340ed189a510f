package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

const (
	callTimeout       = 3 * time.Second
	throttleTries     = 6
	throttleWaitMax   = 5 * time.Second
	settleAttempts    = 6
	settleBackoff     = 50 * time.Millisecond
	settleBackoffMax  = time.Second
	watchIdleTimeout  = 15 * time.Second // bookmarks are due well before
	maxErrorBodyBytes = 4 << 10
)

// Client speaks the object API over HTTP. It implements Store and HostLister.
type Client struct {
	base    string
	http    *http.Client
	writer  string
	counter atomic.Int64
	history *history
	sleep   func(context.Context, time.Duration) bool
	observe Observer
}

// Option changes a new client.
type Option func(*Client, *http.Transport)

// WithDial makes the client open its connections with dial.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(_ *Client, t *http.Transport) { t.DialContext = dial }
}

// Observer is told what the client asks of the platform.
type Observer interface {
	// PlatformCall is told of each call: its HTTP method, and how it ended.
	PlatformCall(operation string, err error)
	// PlatformWatches is told by how many the open watches change.
	PlatformWatches(delta int)
}

// noObserver ignores what it is told.
type noObserver struct{}

func (noObserver) PlatformCall(string, error) {}
func (noObserver) PlatformWatches(int)        {}

// WithObserver makes the client tell o about its calls and watches.
func WithObserver(o Observer) Option {
	return func(c *Client, _ *http.Transport) { c.observe = o }
}

// NewClient returns a client of the object API at the base URL. The writer
// name is made unique to this process.
func NewClient(base, writer string, options ...Option) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 32
	c := &Client{
		base:    base,
		http:    &http.Client{Transport: transport},
		writer:  writer + "/" + uuid.NewString(),
		sleep:   sleep,
		history: newHistory(),
		observe: noObserver{},
	}
	for _, option := range options {
		option(c, transport)
	}
	return c
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) nextAttempt() string {
	return fmt.Sprintf("%s/%d", c.writer, c.counter.Add(1))
}

func (c *Client) objectURL(kind Kind, name string) string {
	return c.base + "/v1/objects/" + string(kind) + "/" + url.PathEscape(name)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	o, _, err := c.get(ctx, kind, name)
	return o, err
}

func (c *Client) get(ctx context.Context, kind Kind, name string) (Object, []writer, error) {
	var o Object
	if err := c.call(ctx, http.MethodGet, c.objectURL(kind, name), nil, nil, &o); err != nil {
		return Object{}, nil, errors.Wrapf(err, "get %s %q", kind, name)
	}
	writers, err := c.unwrap(&o)
	return o, writers, err
}

// unwrap takes the value out of its envelope and remembers its writers for a
// later write on this version.
func (c *Client) unwrap(o *Object) ([]writer, error) {
	var env envelope
	if err := json.Unmarshal(o.Value, &env); err != nil {
		return nil, errors.Wrapf(err, "decode envelope of %s %q", o.Kind, o.Name)
	}
	o.Value = env.Spec
	c.history.remember(o.Kind, o.Name, o.Version, env.Writers)
	return env.Writers, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind, prefix string) ([]Object, int64, error) {
	var all []Object
	var version int64
	after := ""
	for {
		var page ListPage
		q := url.Values{"prefix": {prefix}, "after": {after}}
		err := c.call(ctx, http.MethodGet, c.base+"/v1/objects/"+string(kind)+"?"+q.Encode(), nil, nil, &page)
		if err != nil {
			return nil, 0, errors.Wrapf(err, "list %s", kind)
		}
		// The first page's version is the safe one to watch from: later pages
		// can only hold newer objects, and events are idempotent.
		if version == 0 {
			version = page.Version
		}
		for i := range page.Items {
			if _, err := c.unwrap(&page.Items[i]); err != nil {
				return nil, 0, err
			}
		}
		all = append(all, page.Items...)
		if page.Next == "" {
			return all, version, nil
		}
		after = page.Next
	}
}

// ListPage is one page of a list.
type ListPage struct {
	Items   []Object `json:"items"`
	Version int64    `json:"version"`
	Next    string   `json:"next"` // name to continue after; empty on the last page
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind Kind, name string, value any) (Object, error) {
	return c.write(ctx, kind, name, 0, value)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind Kind, name string, version int64, value any) (Object, error) {
	if version <= 0 {
		return Object{}, errors.New("update needs the version that was read")
	}
	return c.write(ctx, kind, name, version, value)
}

// write sends one attempt until it is settled.
func (c *Client) write(ctx context.Context, kind Kind, name string, version int64, value any) (Object, error) {
	spec, err := json.Marshal(value)
	if err != nil {
		return Object{}, errors.Wrapf(err, "encode %s %q", kind, name)
	}
	a := attempt{kind: kind, name: name, version: version, id: c.nextAttempt(), spec: spec}
	a.writers = append([]writer{{Attempt: a.id, On: version}}, c.history.of(kind, name, version)...)
	a.writers = a.writers[:min(len(a.writers), writersKept)]
	a.body, err = json.Marshal(envelope{Writers: a.writers, Spec: spec})
	if err != nil {
		return Object{}, errors.Wrap(err, "encode envelope")
	}
	if len(a.body) > MaxValueBytes {
		return Object{}, errors.Wrapf(ErrTooLarge, "write %s %q of %d bytes", kind, name, len(a.body))
	}
	return c.settle(ctx, a)
}

func conditionFor(version int64, attempt string) http.Header {
	h := http.Header{attemptHeader: {attempt}}
	if version == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", strconv.Quote(strconv.FormatInt(version, 10)))
	return h
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) ([]HostEntry, error) {
	var hosts []HostEntry
	if err := c.call(ctx, http.MethodGet, c.base+"/v1/hosts", nil, nil, &hosts); err != nil {
		return nil, errors.Wrap(err, "list hosts")
	}
	return hosts, nil
}

// errThrottled is a call that the platform refused for its rate. It had no
// effect.
type errThrottled struct{ wait time.Duration }

// Error implements error.
func (errThrottled) Error() string { return "platform's rate limit is reached" }

// Is reports a throttled call as an unavailable platform.
func (errThrottled) Is(target error) bool { return target == ErrUnavailable }

// call makes a call and repeats it, later, while the platform refuses it for
// its rate.
func (c *Client) call(ctx context.Context, method, target string, body []byte, header http.Header, out any) error {
	backoff := settleBackoff
	for try := 1; ; try++ {
		err := c.callOnce(ctx, method, target, body, header, out)
		c.observe.PlatformCall(method, err)
		var throttled errThrottled
		if !errors.As(err, &throttled) || try >= throttleTries {
			return err
		}
		wait := max(throttled.wait, backoff/2+rand.N(backoff))
		if !c.sleep(ctx, min(wait, throttleWaitMax)) {
			return err
		}
		backoff = min(2*backoff, settleBackoffMax)
	}
}

// callOnce makes one bounded call and maps its status to an error.
func (c *Client) callOnce(ctx context.Context, method, target string, body []byte, header http.Header, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", jsonContentType)
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrap(ErrUnavailable, "read answer: "+err.Error())
	}
	return nil
}

func statusError(resp *http.Response) error {
	switch {
	case resp.StatusCode < 300:
		return nil
	case resp.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrConflict
	case resp.StatusCode == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case resp.StatusCode == http.StatusGone:
		return ErrExpired
	case resp.StatusCode == http.StatusTooManyRequests:
		return errThrottled{wait: retryAfter(resp.Header)}
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return errors.Wrapf(ErrUnavailable, "status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
