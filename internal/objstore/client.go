package objstore

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

const (
	callTimeout          = 3 * time.Second // the store responds in milliseconds; slower responses are of no use
	maxThrottledAttempts = 6
	maxThrottleDelay     = 5 * time.Second
	maxWriteAttempts     = 6
	minBackoff           = 50 * time.Millisecond
	maxBackoff           = time.Second
)

// Client makes calls over a transport, retries throttled calls and resolves the
// outcome of writes without a response. It implements Store, StaleGetter and
// HostLister.
type Client struct {
	transport       Transport
	writer          string
	attemptCount    atomic.Int64
	history         *history
	sleep           func(context.Context, time.Duration) bool
	observer        Observer
	pollWait        time.Duration
	responseTimeout time.Duration
	pollInterval    time.Duration
	spacedKinds     []Kind
}

// Option configures a new client.
type Option func(*Client)

// Observer records the client's calls and watches, for example as metrics.
type Observer interface {
	// ObservePlatformCall records a finished call and its error, if any.
	ObservePlatformCall(operation string, err error)
	// AddPlatformWatches adds delta to the number of open watches.
	AddPlatformWatches(delta int)
}

// noObserver is the observer of clients without the option WithObserver.
type noObserver struct{}

func (noObserver) ObservePlatformCall(string, error) {}
func (noObserver) AddPlatformWatches(int)            {}

// WithObserver makes the client report its calls and watches to o.
func WithObserver(o Observer) Option {
	return func(c *Client) { c.observer = o }
}

// WithPollTimeouts sets how long one poll of a watch waits for a change, and how
// much longer its response may take.
func WithPollTimeouts(wait, response time.Duration) Option {
	return func(c *Client) { c.pollWait, c.responseTimeout = wait, response }
}

// WithPollInterval sets the least time between two polls of a watch of the kinds. While many
// objects change, a poll then returns several changes, and the first one after a pause still
// comes at once.
func WithPollInterval(interval time.Duration, kinds ...Kind) Option {
	return func(c *Client) { c.pollInterval, c.spacedKinds = interval, kinds }
}

// NewClient returns a client over the transport. It makes the writer name unique
// to this client.
func NewClient(transport Transport, writer string, options ...Option) *Client {
	c := &Client{
		transport:       transport,
		writer:          writer + "/" + uuid.NewString(),
		sleep:           sleep,
		history:         newHistory(),
		observer:        noObserver{},
		pollWait:        defaultPollWait,
		responseTimeout: defaultResponseTimeout,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.Close() }

func (c *Client) nextAttempt() string {
	return fmt.Sprintf("%s/%d", c.writer, c.attemptCount.Add(1))
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	o, _, err := c.get(ctx, kind, name)
	return o, err
}

// GetStale implements StaleGetter.
func (c *Client) GetStale(ctx context.Context, kind Kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, "GET_STALE", func(ctx context.Context) (err error) {
		o, err = c.transport.GetStale(ctx, kind, name)
		return err
	})
	if err != nil {
		return Object{}, errors.Wrapf(err, "get stale %s %q", kind, name)
	}
	c.unwrap(&o)
	return o, nil
}

func (c *Client) get(ctx context.Context, kind Kind, name string) (Object, []writer, error) {
	var o Object
	err := c.call(ctx, "GET", func(ctx context.Context) (err error) {
		o, err = c.transport.Get(ctx, kind, name)
		return err
	})
	if err != nil {
		return Object{}, nil, errors.Wrapf(err, "get %s %q", kind, name)
	}
	return o, c.unwrap(&o), nil
}

// unwrap takes the value out of its envelope, and records the writers for a later
// update of this version. Objects that another program wrote have no envelope.
func (c *Client) unwrap(o *Object) []writer {
	var env envelope
	if err := json.Unmarshal(o.Value, &env); err != nil || env.Writers == nil {
		return nil
	}
	o.Value = env.Spec
	c.history.record(o.Kind, o.Name, o.Version, env.Writers)
	return env.Writers
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind, prefix string) ([]Object, int64, error) {
	var all []Object
	var version int64
	after := nameBefore(prefix)
	for {
		var page Page
		err := c.call(ctx, "LIST", func(ctx context.Context) (err error) {
			page, err = c.transport.List(ctx, kind, after)
			return err
		})
		if err != nil {
			return nil, 0, errors.Wrapf(err, "list %s", kind)
		}
		// Watching must start from the version of the first page. Later pages
		// can only hold newer objects, and applying an event twice is harmless.
		if version == 0 {
			version = page.Version
		}
		pastPrefix := false
		for _, o := range page.Items {
			after = o.Name
			if !strings.HasPrefix(o.Name, prefix) {
				pastPrefix = pastPrefix || o.Name > prefix
				continue
			}
			c.unwrap(&o)
			all = append(all, o)
		}
		if pastPrefix || !page.More || len(page.Items) == 0 {
			return all, version, nil
		}
	}
}

// nameBefore returns a name that sorts shortly before all names with the prefix.
func nameBefore(prefix string) string {
	if prefix == "" {
		return ""
	}
	last := len(prefix) - 1
	return prefix[:last] + string(prefix[last]-1) + "~"
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

// write creates or replaces an object and resolves the outcome.
func (c *Client) write(ctx context.Context, kind Kind, name string, version int64, value any) (Object, error) {
	spec, err := json.Marshal(value)
	if err != nil {
		return Object{}, errors.Wrapf(err, "encode %s %q", kind, name)
	}
	a := attempt{kind: kind, name: name, version: version, id: c.nextAttempt(), spec: spec}
	a.writers = append([]writer{{Attempt: a.id, BaseVersion: version}}, c.history.writersAt(kind, name, version)...)
	a.writers = a.writers[:min(len(a.writers), maxWriters)]
	a.body, err = json.Marshal(envelope{Writers: a.writers, Spec: spec})
	if err != nil {
		return Object{}, errors.Wrap(err, "encode envelope")
	}
	if len(a.body) > MaxValueBytes {
		return Object{}, errors.Wrapf(ErrTooLarge, "write %s %q of %d bytes", kind, name, len(a.body))
	}
	return c.sendUntilResolved(ctx, a)
}

// SetStatus replaces the status of an object that another writer owns.
func (c *Client) SetStatus(ctx context.Context, kind Kind, name string, status any) error {
	raw, err := json.Marshal(status)
	if err != nil {
		return errors.Wrapf(err, "encode status of %s %q", kind, name)
	}
	err = c.call(ctx, "STATUS", func(ctx context.Context) error {
		_, err := c.transport.ReplaceStatus(ctx, kind, name, 0, raw)
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "set status of %s %q", kind, name)
	}
	return nil
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) ([]HostEntry, error) {
	var hosts []HostEntry
	err := c.call(ctx, "HOSTS", func(ctx context.Context) (err error) {
		hosts, err = c.transport.Hosts(ctx)
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "list hosts")
	}
	return hosts, nil
}

// ThrottledError means that the platform rejected a call because of its rate
// limit. The call had no effect.
type ThrottledError struct {
	Wait time.Duration // delay that the platform requests before a retry
}

// Error implements error.
func (*ThrottledError) Error() string { return "platform's rate limit exceeded" }

// Is makes a throttled call match ErrUnavailable.
func (*ThrottledError) Is(target error) bool { return target == ErrUnavailable }

// call makes a call, and retries it with backoff while the platform throttles it.
func (c *Client) call(ctx context.Context, operation string, do func(context.Context) error) error {
	backoff := minBackoff
	for try := 1; ; try++ {
		err := c.callOnce(ctx, do)
		c.observer.ObservePlatformCall(operation, err)
		var throttled *ThrottledError
		if !errors.As(err, &throttled) || try >= maxThrottledAttempts {
			return err
		}
		wait := max(throttled.Wait, backoff/2+rand.N(backoff))
		if !c.sleep(ctx, min(wait, maxThrottleDelay)) {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) callOnce(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx)
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
