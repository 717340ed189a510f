package objstore

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Call is a call to the store that one host can make on behalf of another.
type Call struct {
	Operation Operation
	Kind      Kind
	Name      string
	Version   int64
	After     string
	Value     json.RawMessage
}

// Operation is the operation of a call.
type Operation string

// The operations that hosts make for each other. Watches are never relayed.
const (
	OpGet      Operation = "get"
	OpGetStale Operation = "get stale"
	OpList     Operation = "list"
	OpCreate   Operation = "create"
	OpReplace  Operation = "replace"
	OpDelete   Operation = "delete"
)

// Do makes the call over a transport. For operations other than a list, the page
// holds the single object.
func (c Call) Do(ctx context.Context, t Transport) (Page, error) {
	var o Object
	var err error
	switch c.Operation {
	case OpList:
		return t.List(ctx, c.Kind, c.After)
	case OpGet:
		o, err = t.Get(ctx, c.Kind, c.Name)
	case OpGetStale:
		o, err = t.GetStale(ctx, c.Kind, c.Name)
	case OpCreate:
		o, err = t.Create(ctx, c.Kind, c.Name, c.Value)
	case OpReplace:
		o, err = t.Replace(ctx, c.Kind, c.Name, c.Version, c.Value)
	case OpDelete:
		err = t.Delete(ctx, c.Kind, c.Name, c.Version)
	default:
		err = errors.Errorf("unknown operation %q of the platform's store", c.Operation)
	}
	return Page{Items: []Object{o}}, err
}

// Relay makes a call through a peer. It returns ErrUnavailable if no peer can
// make the call, and ErrNoResponse if the peer's response was lost.
type Relay func(ctx context.Context, c Call) (Page, error)

// isWrite reports whether the call changes an object.
func (c Call) isWrite() bool {
	return c.Operation == OpCreate || c.Operation == OpReplace || c.Operation == OpDelete
}

// RelayedTransport makes calls directly, or through a peer while direct calls
// fail: the store may reject this host's calls, or not respond to this host,
// while it serves other hosts.
type RelayedTransport struct {
	Transport
	relay        Relay
	onDirectCall func(bool)   // called after each direct call with whether the store was available
	failures     atomic.Int64 // consecutive direct calls that failed
	lastDirect   atomic.Int64 // time of the last direct call, in Unix nanoseconds
}

const (
	relayThreshold      = 2                      // consecutive failures after which calls are relayed
	directTimeout       = 400 * time.Millisecond // twice the response time of a store that is fifty times slower than usual
	directRetryInterval = 500 * time.Millisecond // interval between direct calls while calls are relayed
	probeTimeout        = 100 * time.Millisecond // timeout of direct calls while calls are relayed
)

// NewRelayedTransport returns a transport over the direct transport and a relay.
// It calls onDirectCall after each direct call with whether the store was
// available.
func NewRelayedTransport(direct Transport, relay Relay, onDirectCall func(bool)) *RelayedTransport {
	return &RelayedTransport{Transport: direct, relay: relay, onDirectCall: onDirectCall}
}

// Available reports whether the store was available to a call that returned e,
// that is, e is neither ErrUnavailable nor ErrNoResponse.
func Available(e error) bool { return !errors.Is(e, ErrUnavailable) && !errors.Is(e, ErrNoResponse) }

// call makes the call directly or through a peer.
func (t *RelayedTransport) call(ctx context.Context, c Call) (Page, error) {
	if t.failures.Load() < relayThreshold {
		return t.callDirect(ctx, c, directTimeout)
	}
	if !t.directRetryDue() {
		return t.relay(ctx, c)
	}
	t.lastDirect.Store(time.Now().UnixNano()) // prevents concurrent direct calls
	if !c.isWrite() {
		return t.callDirect(ctx, c, probeTimeout)
	}
	page, err := t.relay(ctx, c)
	if errors.Is(err, ErrUnavailable) { // not executed, and no peer can make the call
		return t.callDirect(ctx, c, directTimeout)
	}
	go t.probe(c)
	return page, err
}

// directRetryDue reports whether to try the store directly while calls are
// relayed.
func (t *RelayedTransport) directRetryDue() bool {
	return time.Since(time.Unix(0, t.lastDirect.Load())) > directRetryInterval
}

// callDirect makes the call directly, and then through a peer if the store was
// unavailable. A write without a response may have taken effect, so it is not
// relayed: its writer resolves the outcome by reading the object back.
func (t *RelayedTransport) callDirect(ctx context.Context, c Call, limit time.Duration) (Page, error) {
	t.lastDirect.Store(time.Now().UnixNano())
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	page, err := c.Do(limited, t.Transport)
	t.onDirectCall(Available(err))
	switch {
	case errors.Is(err, ErrNoResponse):
		t.failures.Store(relayThreshold) // each further direct call would take the whole timeout
	case errors.Is(err, ErrUnavailable):
		t.failures.Add(1)
	default:
		t.failures.Store(0)
		return page, err
	}
	if errors.Is(err, ErrNoResponse) && c.isWrite() {
		return page, err
	}
	return t.relay(ctx, c)
}

// probe checks whether the store is available to this host again.
func (t *RelayedTransport) probe(c Call) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := t.Transport.GetStale(ctx, c.Kind, c.Name)
	t.onDirectCall(Available(err))
	if Available(err) {
		t.failures.Store(0)
	}
}

func (t *RelayedTransport) callObject(ctx context.Context, c Call) (Object, error) {
	page, err := t.call(ctx, c)
	if err != nil || len(page.Items) == 0 {
		return Object{}, err
	}
	return page.Items[0], nil
}

// Get implements Transport.
func (t *RelayedTransport) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return t.callObject(ctx, Call{Operation: OpGet, Kind: kind, Name: name})
}

// GetStale implements Transport.
func (t *RelayedTransport) GetStale(ctx context.Context, kind Kind, name string) (Object, error) {
	return t.callObject(ctx, Call{Operation: OpGetStale, Kind: kind, Name: name})
}

// List implements Transport.
func (t *RelayedTransport) List(ctx context.Context, kind Kind, after string) (Page, error) {
	return t.call(ctx, Call{Operation: OpList, Kind: kind, After: after})
}

// Create implements Transport.
func (t *RelayedTransport) Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (Object, error) {
	return t.callObject(ctx, Call{Operation: OpCreate, Kind: kind, Name: name, Value: value})
}

// Replace implements Transport.
func (t *RelayedTransport) Replace(ctx context.Context, kind Kind, name string, version int64, value json.RawMessage) (Object, error) {
	return t.callObject(ctx, Call{Operation: OpReplace, Kind: kind, Name: name, Version: version, Value: value})
}

// Delete implements Transport.
func (t *RelayedTransport) Delete(ctx context.Context, kind Kind, name string, version int64) error {
	_, err := t.call(ctx, Call{Operation: OpDelete, Kind: kind, Name: name, Version: version})
	return err
}
