package objstore

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Call is one call to the store, as hosts make it for each other.
type Call struct {
	Operation Operation
	Kind      Kind
	Name      string
	Version   int64
	After     string
	Value     json.RawMessage
}

// Operation names a call.
type Operation string

// The operations that hosts make for each other. Watches stay with each host.
const (
	OpGet      Operation = "get"
	OpGetStale Operation = "get stale"
	OpList     Operation = "list"
	OpCreate   Operation = "create"
	OpReplace  Operation = "replace"
	OpDelete   Operation = "delete"
)

// Do makes the call over a transport. Of a list it returns the page, of all
// others the one object.
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

// Relay makes a call through a peer. It returns ErrUnavailable where no peer can
// make it, and ErrNoAnswer where the peer's answer was lost.
type Relay func(ctx context.Context, c Call) (Page, error)

// RelayedTransport makes calls directly, and through a peer while the store
// turns this host away and serves others.
type RelayedTransport struct {
	Transport
	relay  Relay
	failed atomic.Int64 // calls in a row that the store did not answer
	last   atomic.Int64 // Unix nanoseconds of the last direct try
}

const (
	relayAfter  = 2                      // failures in a row
	directAgain = 500 * time.Millisecond // between direct tries while calls are relayed
)

// NewRelayedTransport returns a transport over the direct one and a relay.
func NewRelayedTransport(direct Transport, relay Relay) *RelayedTransport {
	return &RelayedTransport{Transport: direct, relay: relay}
}

// do makes the call directly or through a peer.
func (t *RelayedTransport) do(ctx context.Context, c Call) (Page, error) {
	if t.failed.Load() < relayAfter || time.Since(time.Unix(0, t.last.Load())) > directAgain {
		t.last.Store(time.Now().UnixNano())
		page, err := c.Do(ctx, t.Transport)
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrNoAnswer) {
			t.failed.Store(0)
			return page, err
		}
		t.failed.Add(1)
		if errors.Is(err, ErrNoAnswer) {
			return page, err // it may take effect; the caller reads back
		}
	}
	return t.relay(ctx, c)
}

func (t *RelayedTransport) one(ctx context.Context, c Call) (Object, error) {
	page, err := t.do(ctx, c)
	if err != nil || len(page.Items) == 0 {
		return Object{}, err
	}
	return page.Items[0], nil
}

// Get implements Transport.
func (t *RelayedTransport) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return t.one(ctx, Call{Operation: OpGet, Kind: kind, Name: name})
}

// GetStale implements Transport.
func (t *RelayedTransport) GetStale(ctx context.Context, kind Kind, name string) (Object, error) {
	return t.one(ctx, Call{Operation: OpGetStale, Kind: kind, Name: name})
}

// List implements Transport.
func (t *RelayedTransport) List(ctx context.Context, kind Kind, after string) (Page, error) {
	return t.do(ctx, Call{Operation: OpList, Kind: kind, After: after})
}

// Create implements Transport.
func (t *RelayedTransport) Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (Object, error) {
	return t.one(ctx, Call{Operation: OpCreate, Kind: kind, Name: name, Value: value})
}

// Replace implements Transport.
func (t *RelayedTransport) Replace(ctx context.Context, kind Kind, name string, version int64, value json.RawMessage) (Object, error) {
	return t.one(ctx, Call{Operation: OpReplace, Kind: kind, Name: name, Version: version, Value: value})
}

// Delete implements Transport.
func (t *RelayedTransport) Delete(ctx context.Context, kind Kind, name string, version int64) error {
	_, err := t.do(ctx, Call{Operation: OpDelete, Kind: kind, Name: name, Version: version})
	return err
}
