package objstore

import (
	"context"
	"encoding/json"
	"time"
)

// Transport makes single calls to the platform's store. Its errors are the
// errors of this package: a call that was refused for its rate is a
// *ThrottledError, one that the store declined without doing anything is
// ErrUnavailable, and one without an answer is ErrNoAnswer.
type Transport interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// GetStale returns what Get returned at some moment of the last seconds.
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns one page of the kind's objects, in name order.
	List(ctx context.Context, kind Kind, after string) (Page, error)
	// Create returns ErrConflict when the name is taken.
	Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (Object, error)
	// Replace returns ErrConflict when the version isn't the object's, and
	// ErrNotFound when there is no such object.
	Replace(ctx context.Context, kind Kind, name string, version int64, value json.RawMessage) (Object, error)
	// ReplaceStatus replaces the status of an object that another writer owns.
	// A version of zero replaces whatever is there.
	ReplaceStatus(ctx context.Context, kind Kind, name string, version int64, status json.RawMessage) (Object, error)
	// Delete returns the same errors as Replace.
	Delete(ctx context.Context, kind Kind, name string, version int64) error
	// Poll waits for changes of the kind after the version and returns them.
	// It returns no events when none came within wait.
	Poll(ctx context.Context, kind Kind, after int64, wait time.Duration) (Changes, error)
	// Hosts returns the platform's list of machines that upstreams run on.
	Hosts(ctx context.Context) ([]HostEntry, error)
	// Close drops idle connections.
	Close()
}

// Page is one page of a list.
type Page struct {
	Items   []Object
	Version int64 // of the store when the page was read
	More    bool  // further pages follow after the last item's name
}

// Changes are the events of one poll.
type Changes struct {
	Events  []Event
	Version int64 // to continue from
}
