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

// changes reports whether the call changes an object.
func (c Call) changes() bool {
	return c.Operation == OpCreate || c.Operation == OpReplace || c.Operation == OpDelete
}

// RelayedTransport makes calls directly, and through a peer while the store
// turns this host away, or is silent to it, and serves others.
type RelayedTransport struct {
	Transport
	relay  Relay
	served func(bool)   // told of each direct call whether the store served it
	failed atomic.Int64 // calls in a row that the store did not answer
	last   atomic.Int64 // Unix nanoseconds of the last direct try
}

const (
	relayAfter  = 2                      // refusals in a row
	directTime  = 400 * time.Millisecond // of a direct call: twice what a store takes that is fifty times slower than usual
	directAgain = 500 * time.Millisecond // between direct tries while calls are relayed
	probeTime   = 100 * time.Millisecond // of these tries
)

// NewRelayedTransport returns a transport over the direct one and a relay. It
// tells served of each direct call whether the store served it.
func NewRelayedTransport(direct Transport, relay Relay, served func(bool)) *RelayedTransport {
	return &RelayedTransport{Transport: direct, relay: relay, served: served}
}

// Served reports whether a call ended with an answer of the store.
func Served(err error) bool { return !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrNoAnswer) }

// do makes the call directly or through a peer.
func (t *RelayedTransport) do(ctx context.Context, c Call) (Page, error) {
	if t.failed.Load() < relayAfter {
		return t.direct(ctx, c, directTime)
	}
	if !t.due() {
		return t.relay(ctx, c)
	}
	t.last.Store(time.Now().UnixNano()) // no other call tries too
	if !c.changes() {
		return t.direct(ctx, c, probeTime)
	}
	page, err := t.relay(ctx, c)
	if errors.Is(err, ErrUnavailable) { // nothing was done, and no peer can help
		return t.direct(ctx, c, directTime)
	}
	go t.probe(c)
	return page, err
}

// due reports whether a direct call is to be tried while calls are relayed.
func (t *RelayedTransport) due() bool {
	return time.Since(time.Unix(0, t.last.Load())) > directAgain
}

// direct makes the call directly. One that can't have changed anything is made
// through a peer when the store doesn't serve it; one that may have is left to
// its writer, who reads back.
func (t *RelayedTransport) direct(ctx context.Context, c Call, limit time.Duration) (Page, error) {
	t.last.Store(time.Now().UnixNano())
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	page, err := c.Do(limited, t.Transport)
	t.served(Served(err))
	switch {
	case errors.Is(err, ErrNoAnswer):
		t.failed.Store(relayAfter) // each further try would cost as much time
	case errors.Is(err, ErrUnavailable):
		t.failed.Add(1)
	default:
		t.failed.Store(0)
		return page, err
	}
	if errors.Is(err, ErrNoAnswer) && c.changes() {
		return page, err
	}
	return t.relay(ctx, c)
}

// probe finds out whether the store serves this host again.
func (t *RelayedTransport) probe(c Call) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	_, err := t.Transport.GetStale(ctx, c.Kind, c.Name)
	t.served(Served(err))
	if Served(err) {
		t.failed.Store(0)
	}
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
