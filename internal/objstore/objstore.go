// Package objstore reads and writes the objects of the platform's store.
//
// Contract: objects carry versions; every write is conditional; every write
// names its writer, so that a write whose answer was lost is settled by reading
// back. Nothing is reported as written before it is known to have taken effect.
package objstore

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Kind names a class of objects.
type Kind string

// The kinds of object that masticscale keeps.
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
	writersKept        = 4       // attempts that an envelope remembers
)

// The errors of the object API. Match them with errors.Is.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object was changed by another writer")
	ErrTooLarge    = errors.New("value exceeds the platform's limit of a megabyte")
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrNoAnswer means that a call was sent and not answered. The call may have
	// taken effect or may take effect later.
	ErrNoAnswer = errors.New("platform did not answer")
	ErrExpired  = errors.New("watch position is no longer kept")
	// ErrAmbiguous means that a write was sent and it could not be learned
	// whether it took effect.
	ErrAmbiguous = errors.New("it is not known whether the write took effect")
)

// Object is one stored object.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"` // store-wide, rises with every write
	Value   json.RawMessage `json:"value"`
	Status  json.RawMessage `json:"status,omitempty"`
}

// EventType says what happened to an object.
type EventType string

// The types of watch events.
const (
	EventPut      EventType = "put"
	EventDelete   EventType = "delete"
	EventBookmark EventType = "bookmark" // progress only; carries a version
)

// Event is one change of an object.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Watcher delivers events in version order until Close.
type Watcher interface {
	// Next blocks for the next event. ErrExpired asks for a new list.
	Next() (Event, error)
	Close()
}

// Store is the object API as its consumers need it.
type Store interface {
	// Get returns ErrNotFound when the object does not exist.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns the objects whose names have the prefix, in name order, and
	// the version of the list.
	List(ctx context.Context, kind Kind, prefix string) ([]Object, int64, error)
	// Create returns ErrConflict when the name is taken by another write.
	Create(ctx context.Context, kind Kind, name string, value any) (Object, error)
	// Update replaces the value if the version is still the given one.
	Update(ctx context.Context, kind Kind, name string, version int64, value any) (Object, error)
	// Delete removes the object if the version is still the given one.
	Delete(ctx context.Context, kind Kind, name string, version int64) error
	// Watch delivers the changes of a kind after the version.
	Watch(ctx context.Context, kind Kind, after int64) (Watcher, error)
}

// StaleGetter reads objects that never change once they exist.
type StaleGetter interface {
	// GetStale returns the object as it was at some moment of the last seconds,
	// at a fraction of the price of Get. One that was created since is missing.
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
}

// HostState is the state of a machine in the platform's list.
type HostState string

// The states of a machine.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostEntry is one machine of the platform's lagging list.
type HostEntry struct {
	Name       string    `json:"name"`
	Address    string    `json:"address"`
	DataCentre string    `json:"data_centre"`
	State      HostState `json:"state"`
}

// HostLister reads the platform's lagging list of live and leaving hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// envelope is the stored form of a value. Writers holds the attempts that led
// to it, newest first, so that a write whose answer was lost and which was then
// overwritten can still be recognised.
type envelope struct {
	Writers []writer        `json:"writers"`
	Spec    json.RawMessage `json:"spec"`
}

// writer is one attempt that took effect, and the version that it replaced.
type writer struct {
	Attempt string `json:"attempt"`
	On      int64  `json:"on"` // zero for a create
}

// Decode reads the object's value into out.
func (o Object) Decode(out any) error {
	if err := json.Unmarshal(o.Value, out); err != nil {
		return errors.Wrapf(err, "decode %s %q", o.Kind, o.Name)
	}
	return nil
}
