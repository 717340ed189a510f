package slots

import (
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// announcementTTL is the time for which an announcement outlives the registration of its
// upstream. An entry can lapse and return while the store is down, and the upstream exits
// well within this time.
const announcementTTL = 10 * time.Minute

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
	announced := bootOf(u)
	_, known := b.announced[announced]
	b.announced[announced] = now
	if entry, ok := b.upstreams[u.ID]; ok {
		entry.announcedLeaving = b.HasAnnouncedLeaving(entry.Upstream)
	}
	return !known
}

// HasAnnouncedLeaving reports whether the process of the upstream has announced in a
// response that it leaves.
func (b *Balancer) HasAnnouncedLeaving(u fleet.Upstream) bool {
	_, announced := b.announced[bootOf(u)]
	return announced
}

// ForgetAnnouncements removes the announcements of processes that have not been registered
// for a long time.
func (b *Balancer) ForgetAnnouncements(now time.Time) {
	for announced, lastRegistered := range b.announced {
		if u, ok := b.upstreams[announced.id]; ok && bootOf(u.Upstream) == announced {
			b.announced[announced] = now
			continue
		}
		if now.Sub(lastRegistered) >= announcementTTL {
			delete(b.announced, announced)
		}
	}
}

// isLeaving reports whether the registry says that the upstream leaves, or it has announced
// so in a response.
func (u *upstream) isLeaving() bool { return u.Leaving || u.announcedLeaving }
