package catalog

import (
	"time"

	"github.com/masticscale/masticscale/internal/objstore"
)

// Digest summarizes a host's catalog for a peer, in a few bytes.
type Digest struct {
	From      string // peer address of the sender
	Revision  int64
	Objects   uint64        // identifies the objects and their versions
	Withdrawn uint64        // identifies the set of withdrawn keys
	Complete  CheckpointAge // version as of which the sender is complete, and the maximum age of its copy
	Heard     CheckpointAge // latest checkpoint that the sender has received
	News      []Withdrawal  // recent withdrawals
}

// CheckpointAge is a checkpoint as sent to peers: with an age instead of a time,
// as the hosts' clocks differ.
type CheckpointAge struct {
	Version int64
	Age     time.Duration // negative when there is none
}

// checkpoint converts the age to a time on the receiver's clock. The receiver
// passes the time at which it sent the request, which is never too late.
func (a CheckpointAge) checkpoint(sent time.Time) (Checkpoint, bool) {
	if a.Age < 0 {
		return Checkpoint{}, false
	}
	return Checkpoint{Version: a.Version, At: sent.Add(-a.Age)}, true
}

func newCheckpointAge(cp Checkpoint, now time.Time) CheckpointAge {
	if cp.At.IsZero() {
		return CheckpointAge{Age: -time.Second}
	}
	return CheckpointAge{Version: cp.Version, Age: max(0, now.Sub(cp.At))}
}

// contentDigest identifies the content of a catalog.
type contentDigest struct {
	revision           int64
	objects, withdrawn uint64
}

func (c *Catalog) contentDigest() contentDigest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return contentDigest{c.revision, c.versions.digest, c.withdrawnDigest()}
}

// digest returns the digest without its sender and recent withdrawals.
func (c *Catalog) digest(now time.Time) Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Digest{
		Revision:  c.revision,
		Objects:   c.versions.digest,
		Withdrawn: c.withdrawnDigest(),
		Complete:  newCheckpointAge(Checkpoint{Version: c.versions.completeVersion(), At: c.freshness.confirmed.At}, now),
		Heard:     newCheckpointAge(c.freshness.latest, now),
	}
}

// mergeDigest updates the freshness from a peer's digest. A peer that holds the
// same objects at a later version shows that nothing has changed in between.
func (c *Catalog) mergeDigest(d Digest, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if heard, ok := d.Heard.checkpoint(sent); ok {
		c.freshness.record(heard)
	}
	complete, ok := d.Complete.checkpoint(sent)
	if ok && d.Revision == c.revision && d.Objects == c.versions.digest && c.withdrawnDigest() == d.Withdrawn {
		for _, kind := range watchedKinds {
			c.versions.advance(kind, complete.Version)
		}
		c.freshness.record(complete)
	}
	c.freshness.confirmUpTo(c.versions.completeVersion())
}

func (c *Catalog) completeVersion(kind objstore.Kind) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.Complete[kind]
}
