package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
}

// NewClient returns a client of the object API at the base URL. The writer
// name is made unique to this process.
func NewClient(base, writer string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 32
	return &Client{
		base:   base,
		http:   &http.Client{Transport: transport},
		writer: writer + "/" + uuid.NewString(),
	}
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

func (c *Client) get(ctx context.Context, kind Kind, name string) (Object, envelope, error) {
	var o Object
	if err := c.call(ctx, http.MethodGet, c.objectURL(kind, name), nil, nil, &o); err != nil {
		return Object{}, envelope{}, errors.Wrapf(err, "get %s %q", kind, name)
	}
	env, err := unwrap(&o)
	return o, env, err
}

func unwrap(o *Object) (envelope, error) {
	var env envelope
	if err := json.Unmarshal(o.Value, &env); err != nil {
		return env, errors.Wrapf(err, "decode envelope of %s %q", o.Kind, o.Name)
	}
	o.Value = env.Spec
	return env, nil
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
			if _, err := unwrap(&page.Items[i]); err != nil {
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

// write sends one attempt until it is settled. The same attempt is sent again
// only after a read has shown that it has not taken effect; a late first copy
// then fails its own condition, so both are harmless together.
func (c *Client) write(ctx context.Context, kind Kind, name string, version int64, value any) (Object, error) {
	spec, err := json.Marshal(value)
	if err != nil {
		return Object{}, errors.Wrapf(err, "encode %s %q", kind, name)
	}
	attempt := c.nextAttempt()
	env := envelope{Writers: []string{attempt}, Spec: spec}
	if version > 0 {
		env.Writers = append(env.Writers, c.earlierWriters(ctx, kind, name, version)...)
	}
	body, err := json.Marshal(env)
	if err != nil {
		return Object{}, errors.Wrap(err, "encode envelope")
	}
	if len(body) > MaxValueBytes {
		return Object{}, errors.Wrapf(ErrTooLarge, "write %s %q of %d bytes", kind, name, len(body))
	}
	return c.settle(ctx, kind, name, version, attempt, spec, body)
}

// earlierWriters is a hook for remembering attempts. Reading before each write
// would double the calls, so only the client's own last attempt is kept.
func (c *Client) earlierWriters(context.Context, Kind, string, int64) []string { return nil }

func (c *Client) settle(ctx context.Context, kind Kind, name string, version int64, attempt string, spec, body []byte) (Object, error) {
	backoff := settleBackoff
	sent := false
	for try := 0; ; try++ {
		var o Object
		err := c.call(ctx, http.MethodPut, c.objectURL(kind, name), body, conditionFor(version, attempt), &o)
		if err == nil {
			o.Value = spec
			return o, nil
		}
		if errors.Is(err, ErrTooLarge) {
			return Object{}, errors.Wrapf(err, "write %s %q", kind, name)
		}
		ambiguous := !errors.Is(err, ErrConflict) && !errors.Is(err, ErrNotFound) && !errors.Is(err, errThrottled)
		sent = sent || ambiguous
		if errors.Is(err, ErrConflict) && !sent {
			return Object{}, errors.Wrapf(ErrConflict, "write %s %q", kind, name)
		}
		if done, o, serr := c.readBack(ctx, kind, name, version, attempt); done {
			return o, serr
		}
		if try+1 >= settleAttempts || ctx.Err() != nil {
			return Object{}, unsettled(kind, name, sent, err)
		}
		if !sleep(ctx, backoff) {
			return Object{}, unsettled(kind, name, sent, err)
		}
		backoff = min(2*backoff, settleBackoffMax)
	}
}

func unsettled(kind Kind, name string, sent bool, cause error) error {
	if sent {
		return errors.Wrapf(ErrAmbiguous, "write %s %q (%v)", kind, name, cause)
	}
	return errors.Wrapf(ErrUnavailable, "write %s %q (%v)", kind, name, cause)
}

// readBack reports whether the attempt is settled: by success, by a conflict,
// or not yet, when the object still is as it was before the attempt.
func (c *Client) readBack(ctx context.Context, kind Kind, name string, version int64, attempt string) (bool, Object, error) {
	o, env, err := c.get(ctx, kind, name)
	switch {
	case errors.Is(err, ErrNotFound) && version == 0:
		return false, Object{}, nil
	case errors.Is(err, ErrNotFound):
		return true, Object{}, errors.Wrapf(ErrConflict, "%s %q is gone", kind, name)
	case err != nil:
		return false, Object{}, nil
	case env.writtenBy(attempt):
		return true, o, nil
	case o.Version == version:
		return false, Object{}, nil
	default:
		return true, Object{}, errors.Wrapf(ErrConflict, "write %s %q", kind, name)
	}
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

// Delete implements Store. An object that is already gone counts as deleted.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version int64) error {
	err := c.call(ctx, http.MethodDelete, c.objectURL(kind, name), nil, conditionFor(version, c.nextAttempt()), nil)
	if err == nil || errors.Is(err, ErrNotFound) {
		return nil
	}
	return errors.Wrapf(err, "delete %s %q", kind, name)
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) ([]HostEntry, error) {
	var hosts []HostEntry
	if err := c.call(ctx, http.MethodGet, c.base+"/v1/hosts", nil, nil, &hosts); err != nil {
		return nil, errors.Wrap(err, "list hosts")
	}
	return hosts, nil
}

var errThrottled = errors.New("platform's rate limit is reached")

// call makes one bounded call and maps its status to an error.
func (c *Client) call(ctx context.Context, method, target string, body []byte, header http.Header, out any) error {
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
		return errThrottled
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return errors.Wrapf(ErrUnavailable, "status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
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
