package catalog

import (
	"time"

	"github.com/masticscale/masticscale/internal/objstore"
)

// Digest is what a host tells a peer of its catalog, in a few bytes.
type Digest struct {
	From      string // peer address of the sender
	Revision  int64
	Objects   uint64 // identifies the objects and their versions
	Withdrawn uint64 // identifies the set of withdrawn keys
	Complete  Aged   // what the sender holds, and how old that can be
	Heard     Aged   // the latest checkpoint that the sender has heard of
	News      []Withdrawal
}

// Aged is a checkpoint as it is sent: its time as an age, since clocks differ.
type Aged struct {
	Version int64
	Age     time.Duration // negative when there is none
}

// at returns the checkpoint for a receiver that asked at the time.
func (a Aged) at(sent time.Time) (Checkpoint, bool) {
	if a.Age < 0 {
		return Checkpoint{}, false
	}
	return Checkpoint{Version: a.Version, At: sent.Add(-a.Age)}, true
}

func aged(cp Checkpoint, now time.Time) Aged {
	if cp.At.IsZero() {
		return Aged{Age: -time.Second}
	}
	return Aged{Version: cp.Version, Age: max(0, now.Sub(cp.At))}
}

// contentDigests identify what a host holds.
type contentDigests struct {
	revision           int64
	objects, withdrawn uint64
}

func (c *Catalog) digests() contentDigests {
	c.mu.Lock()
	defer c.mu.Unlock()
	return contentDigests{c.revision, c.contents.digest, c.withdrawnDigest()}
}

// digest describes the catalog for a peer.
func (c *Catalog) digest(now time.Time) Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Digest{
		Revision:  c.revision,
		Objects:   c.contents.digest,
		Withdrawn: c.withdrawnDigest(),
		Complete:  aged(Checkpoint{Version: c.contents.completeAt(), At: c.fresh.confirmed.At}, now),
		Heard:     aged(c.fresh.heard, now),
	}
}

// agree notes what a peer's digest shows: a peer that holds the same objects at
// a later version shows that nothing has changed in between.
func (c *Catalog) agree(d Digest, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if heard, ok := d.Heard.at(sent); ok {
		c.fresh.hear(heard)
	}
	complete, ok := d.Complete.at(sent)
	if ok && d.Revision == c.revision && d.Objects == c.contents.digest && c.withdrawnDigest() == d.Withdrawn {
		for _, kind := range followedKinds {
			c.contents.advance(kind, complete.Version)
		}
		c.fresh.hear(complete)
	}
	c.fresh.reach(c.contents.completeAt())
}

func (c *Catalog) completeAt(kind objstore.Kind) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contents.Complete[kind]
}
