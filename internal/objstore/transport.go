package objstore

import (
	"context"
	"encoding/json"
	"time"
)

// Transport makes single calls to the platform's store and returns the errors of
// this package: *ThrottledError for a call rejected by the rate limit,
// ErrUnavailable for a call that the store did not execute, and ErrNoResponse for
// a call without a response.
type Transport interface {
	// Get returns ErrNotFound if the object does not exist.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// GetStale returns what Get would have returned at some moment of the last few
	// seconds.
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns one page of the kind's objects in name order, starting after
	// the given name.
	List(ctx context.Context, kind Kind, after string) (Page, error)
	// Create returns ErrConflict if the object exists.
	Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (Object, error)
	// Replace returns ErrConflict if the object has another version, and
	// ErrNotFound if it does not exist.
	Replace(ctx context.Context, kind Kind, name string, version int64, value json.RawMessage) (Object, error)
	// ReplaceStatus replaces the status of an object that another writer owns.
	// Version zero makes the call unconditional.
	ReplaceStatus(ctx context.Context, kind Kind, name string, version int64, status json.RawMessage) (Object, error)
	// Delete returns the same errors as Replace.
	Delete(ctx context.Context, kind Kind, name string, version int64) error
	// Poll waits for changes of the kind after the version and returns them. It
	// returns no events if nothing changed within wait.
	Poll(ctx context.Context, kind Kind, after int64, wait time.Duration) (Changes, error)
	// Hosts returns the platform's list of the hosts that upstreams run on.
	Hosts(ctx context.Context) ([]HostEntry, error)
	// Close closes idle connections.
	Close()
}

// Page is one page of a list.
type Page struct {
	Items   []Object
	Version int64 // store's version when the page was read
	More    bool  // whether further pages follow
}

// Changes is the result of one poll.
type Changes struct {
	Events  []Event
	Version int64 // version from which to continue polling
}
