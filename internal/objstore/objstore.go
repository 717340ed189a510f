// Package objstore reads and writes the objects of the platform's store.
//
// Contract: objects have versions, and every write is conditional on one. Every
// write carries the id of its attempt, so that the outcome of a write whose
// response was lost is resolved by reading the object back. No write is reported
// as successful before it is known to have taken effect.
package objstore

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Kind names a class of objects.
type Kind string

// The kinds of object that masticscale stores.
const (
	KindRevision  Kind = "config-revision"
	KindPointer   Kind = "config-pointer"
	KindTeam      Kind = "team"
	KindKey       Kind = "key"
	KindRoute     Kind = "route"
	KindService   Kind = "service"
	KindHost      Kind = "host"
	KindRateShare Kind = "rate-share"
	KindClaim     Kind = "claim"
	KindFile      Kind = "file"
	KindFilePart  Kind = "file-part"
	KindJob       Kind = "job"
	KindEndedJob  Kind = "ended-job"
	KindChunk     Kind = "chunk"
	KindSegment   Kind = "segment"
	KindOrder     Kind = "order"
	KindSuspect   Kind = "suspect"
	MaxValueBytes      = 1 << 20 // the platform's limit for one value
	maxWriters         = 4       // latest attempts recorded in an envelope
)

// The errors of the object API. Match them with errors.Is.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object was changed by another writer")
	ErrTooLarge    = errors.New("value exceeds the platform's limit of a megabyte")
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrNoResponse means that a call was sent and its response was lost or
	// unreadable. The call may have taken effect or may take effect later.
	ErrNoResponse = errors.New("no response from the platform")
	ErrExpired    = errors.New("watch version has expired")
	// ErrAmbiguous means that a write was sent and it could not be determined
	// whether it took effect.
	ErrAmbiguous = errors.New("it is not known whether the write took effect")
)

// Object is one stored object.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"` // store-wide, increases with every write
	Value   json.RawMessage `json:"value"`
	Status  json.RawMessage `json:"status,omitempty"`
}

// EventType is the type of a watch event.
type EventType string

// The types of watch events.
const (
	EventPut      EventType = "put"
	EventDelete   EventType = "delete"
	EventBookmark EventType = "bookmark" // no change, only a newer version to resume from
)

// Event is one event of a watch.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Watcher delivers events in version order until Close.
type Watcher interface {
	// Next blocks until the next event. After ErrExpired, the objects must be
	// listed anew.
	Next() (Event, error)
	Close()
}

// Store is the API for reading, writing and watching objects.
type Store interface {
	// Get returns ErrNotFound when the object does not exist.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns the objects whose names have the prefix, in name order, and
	// the version to watch from.
	List(ctx context.Context, kind Kind, prefix string) ([]Object, int64, error)
	// Create returns ErrConflict if another writer has created the object.
	Create(ctx context.Context, kind Kind, name string, value any) (Object, error)
	// Update replaces the value if the object still has the given version.
	Update(ctx context.Context, kind Kind, name string, version int64, value any) (Object, error)
	// Delete removes the object if it still has the given version.
	Delete(ctx context.Context, kind Kind, name string, version int64) error
	// Watch delivers the changes of a kind after the version.
	Watch(ctx context.Context, kind Kind, after int64) (Watcher, error)
}

// StaleGetter reads objects that never change once they exist.
type StaleGetter interface {
	// GetStale returns the object as it was at some moment of the last few
	// seconds, at a fraction of the cost of Get. An object created since that
	// moment is not found.
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
}

// HostState is the state of a host in the platform's host list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostEntry is one host of the platform's host list, which lags behind.
type HostEntry struct {
	Name       string    `json:"name"`
	Address    string    `json:"address"`
	DataCentre string    `json:"data_centre"`
	State      HostState `json:"state"`
}

// HostLister reads the platform's list of live and leaving hosts, which lags
// behind.
type HostLister interface {
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// envelope is the stored form of a value. Writers holds the attempts that led
// to the value, newest first, so that a write can still be identified if its
// response was lost and the object was then overwritten.
type envelope struct {
	Writers []writer        `json:"writers"`
	Spec    json.RawMessage `json:"spec"`
}

// writer is a write attempt that took effect.
type writer struct {
	Attempt     string `json:"attempt"`
	BaseVersion int64  `json:"on"` // version that the attempt replaced; zero for a create
}

// Decode unmarshals the object's value into out.
func (o Object) Decode(out any) error {
	if err := json.Unmarshal(o.Value, out); err != nil {
		return errors.Wrapf(err, "decode %s %q", o.Kind, o.Name)
	}
	return nil
}
