package slots

import (
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// announcementTTL is the time for which an announcement outlives the registration of its
// upstream. An entry can lapse and return while the store is down, and the upstream exits
// well within this time.
const announcementTTL = 10 * time.Minute

// uncertainTTL is the time for which an announcement counts for a process that the response
// may have come from. An upstream that leaves exits within it.
const uncertainTTL = 30 * time.Second

// announcement is what is known of a process that has announced that it leaves.
type announcement struct {
	received       time.Time
	lastRegistered time.Time // when the process was last known to be registered
	expires        time.Time // zero if the response came from this process for certain
	expired        bool
}

// boot identifies one process lifetime of an upstream.
type boot struct {
	id        string
	startedMS int64 // Unix time
}

func bootOf(u fleet.Upstream) boot { return boot{id: u.ID, startedMS: u.Started.UnixMilli()} }

// ReportLeaving records that the process of the upstream has announced in a response that
// it leaves. From then on it counts as leaving, whatever its entry says; a process that
// starts later under the same id doesn't. ReportLeaving reports whether the announcement
// is the first one.
func (b *Balancer) ReportLeaving(u fleet.Upstream, now time.Time) bool {
	process := bootOf(u)
	_, known := b.announced[process]
	b.announced[process] = announcement{received: now, lastRegistered: now}
	if entry, ok := b.upstreams[u.ID]; ok {
		entry.announcedLeaving = b.HasAnnouncedLeaving(entry.Upstream)
	}
	return !known
}

// attributeAnnouncements takes announcements that were received after the start of a process
// under its id for its own, for a while. They are kept under an earlier start if this host
// didn't know of the restart: a response doesn't tell the start of its process.
func (b *Balancer) attributeAnnouncements(u fleet.Upstream) {
	process := bootOf(u)
	if _, known := b.announced[process]; known {
		return
	}
	for other, a := range b.announced {
		if other.id == u.ID && other.startedMS < process.startedMS && a.expires.IsZero() && !a.received.Before(u.Started) {
			b.announced[process] = announcement{received: a.received, lastRegistered: a.received, expires: a.received.Add(uncertainTTL)}
		}
	}
}

// HasAnnouncedLeaving reports whether the process of the upstream has announced in a
// response that it leaves.
func (b *Balancer) HasAnnouncedLeaving(u fleet.Upstream) bool {
	a, announced := b.announced[bootOf(u)]
	return announced && !a.expired
}

// ForgetAnnouncements removes the announcements of processes that have not been registered
// for a long time, and those that may be of another process and have expired.
func (b *Balancer) ForgetAnnouncements(now time.Time) {
	for process, a := range b.announced {
		u, ok := b.upstreams[process.id]
		registered := ok && bootOf(u.Upstream) == process
		if registered {
			a.lastRegistered = now
		}
		a.expired = !a.expires.IsZero() && !now.Before(a.expires)
		b.announced[process] = a
		if registered {
			u.announcedLeaving = !a.expired
		}
		if now.Sub(a.lastRegistered) >= announcementTTL {
			delete(b.announced, process)
		}
	}
}

// isLeaving reports whether the registry says that the upstream leaves, or it has announced
// so in a response.
func (u *upstream) isLeaving() bool { return u.Leaving || u.announcedLeaving }
