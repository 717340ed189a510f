package objectapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

// maxWatchWait bounds the duration of one watch call.
const maxWatchWait = 30 * time.Second

// watch responds as soon as there are events, or without events after the
// requested wait.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	kind := objstore.Kind(r.PathValue("kind"))
	after, err := strconv.ParseInt(r.FormValue(platform.QueryWatch), 10, 64)
	if err != nil {
		http.Error(w, "watch must be a version", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue(platform.QueryWait))
	if err != nil {
		http.Error(w, "wait_ms must be whole milliseconds", http.StatusBadRequest)
		return
	}
	if s.isExpired(after) {
		http.Error(w, "version is no longer kept", http.StatusGone)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		events, version, changed := s.eventsAfter(kind, after)
		if len(events) > 0 {
			writeChanges(w, events, version)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-s.Faults.Changed():
			if s.Faults.Get().Down {
				http.Error(w, "platform is down", http.StatusServiceUnavailable)
				return
			}
		case <-changed:
		case <-timer.C:
			writeChanges(w, nil, version)
			return
		}
	}
}

func writeChanges(w http.ResponseWriter, events []objstore.Event, version int64) {
	changes := platform.StoreChanges{Events: []platform.StoreChange{}, Version: version}
	for _, e := range events {
		deleted := e.Type == objstore.EventDelete
		changes.Events = append(changes.Events, platform.StoreChange{Object: mustMarshal(toStoreObject(e.Object)), Deleted: deleted})
	}
	writeJSON(w, changes)
}

// isExpired reports whether events after the version are no longer in the history.
func (s *Server) isExpired(after int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.history) > 0 && after < s.history[0].Object.Version-1
}

// eventsAfter returns the kind's events after a version, the current version and
// a channel that is closed on the next write. With the StaleWatch fault it returns
// no events.
func (s *Server) eventsAfter(kind objstore.Kind, after int64) ([]objstore.Event, int64, <-chan struct{}) {
	stale := s.Faults.Get().StaleWatch
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale {
		return nil, after, s.changed
	}
	var events []objstore.Event
	for i := len(s.history) - 1; i >= 0 && s.history[i].Object.Version > after; i-- {
		if s.history[i].Object.Kind == kind {
			events = append(events, s.history[i])
		}
	}
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	return events, s.version, s.changed
}
