package objectapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/masticscale/masticscale/internal/platform"
)

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	kind := platform.Kind(r.PathValue("kind"))
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a version", http.StatusBadRequest)
		return
	}
	if s.expired(after) {
		http.Error(w, "version is no longer kept", http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	out := json.NewEncoder(w)
	bookmark := time.NewTicker(bookmarkInterval)
	defer bookmark.Stop()
	for {
		events, version, changed := s.eventsAfter(kind, after)
		for _, e := range events {
			if out.Encode(e) != nil {
				return
			}
		}
		after = version
		if flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-bookmark.C:
			if f := s.Faults.Get(); f.Down {
				return
			}
			if out.Encode(platform.Event{Type: platform.EventBookmark, Object: platform.Object{Version: after}}) != nil {
				return
			}
		}
	}
}

func (s *Server) expired(after int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.history) > 0 && after < s.history[0].Object.Version-1
}

// eventsAfter returns the kind's events after a version, the version reached
// and a channel that closes at the next write. A stale watch sees nothing.
func (s *Server) eventsAfter(kind platform.Kind, after int64) ([]platform.Event, int64, <-chan struct{}) {
	stale := s.Faults.Get().StaleWatch
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale {
		return nil, after, s.changed
	}
	var events []platform.Event
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
