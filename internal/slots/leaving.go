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

// announcements are the announcements of processes, by the upstream's id and the process's
// start in Unix milliseconds. Those under one id are few, while a rolling restart leaves one
// of each upstream.
type announcements map[string]map[int64]announcement

func (a announcements) put(id string, started int64, put announcement) {
	if a[id] == nil {
		a[id] = map[int64]announcement{}
	}
	a[id][started] = put
}

func (a announcements) remove(id string, started int64) {
	delete(a[id], started)
	if len(a[id]) == 0 {
		delete(a, id)
	}
}

// ReportLeaving records that the process of the upstream has announced in a response that
// it leaves. From then on it counts as leaving, whatever its entry says; a process that
// starts later under the same id doesn't. ReportLeaving reports whether the announcement
// is the first one.
func (b *Balancer) ReportLeaving(u fleet.Upstream, now time.Time) bool {
	started := u.Started.UnixMilli()
	_, known := b.announced[u.ID][started]
	b.announced.put(u.ID, started, announcement{received: now, lastRegistered: now})
	if entry, ok := b.upstreams[u.ID]; ok {
		entry.announcedLeaving = b.HasAnnouncedLeaving(entry.Upstream)
	}
	return !known
}

// attributeAnnouncements takes announcements that were received after the start of a process
// under its id for its own, for a while. They are kept under an earlier start if this host
// didn't know of the restart: a response doesn't tell the start of its process.
func (b *Balancer) attributeAnnouncements(u fleet.Upstream) {
	started := u.Started.UnixMilli()
	if _, known := b.announced[u.ID][started]; known {
		return
	}
	for other, a := range b.announced[u.ID] {
		if other < started && a.expires.IsZero() && !a.received.Before(u.Started) {
			b.announced.put(u.ID, started, announcement{received: a.received, lastRegistered: a.received, expires: a.received.Add(uncertainTTL)})
		}
	}
}

// HasAnnouncedLeaving reports whether the process of the upstream has announced in a
// response that it leaves.
func (b *Balancer) HasAnnouncedLeaving(u fleet.Upstream) bool {
	a, announced := b.announced[u.ID][u.Started.UnixMilli()]
	return announced && !a.expired
}

// ForgetAnnouncements removes the announcements of processes that have not been registered
// for a long time, and those that may be of another process and have expired.
func (b *Balancer) ForgetAnnouncements(now time.Time) {
	for id, ofUpstream := range b.announced {
		for started, a := range ofUpstream {
			b.reviewAnnouncement(id, started, a, now)
		}
	}
}

// reviewAnnouncement is ForgetAnnouncements for one process.
func (b *Balancer) reviewAnnouncement(id string, started int64, a announcement, now time.Time) {
	u, ok := b.upstreams[id]
	registered := ok && u.Started.UnixMilli() == started
	if registered {
		a.lastRegistered = now
	}
	a.expired = !a.expires.IsZero() && !now.Before(a.expires)
	b.announced.put(id, started, a)
	if registered {
		u.announcedLeaving = !a.expired
	}
	if now.Sub(a.lastRegistered) >= announcementTTL {
		b.announced.remove(id, started)
	}
}

// isLeaving reports whether the registry says that the upstream leaves, or it has announced
// so in a response.
func (u *upstream) isLeaving() bool { return u.Leaving || u.announcedLeaving }
