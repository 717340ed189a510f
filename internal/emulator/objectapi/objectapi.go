// Package objectapi is a stand-in for the platform's object API: versions,
// conditional writes, watches with bookmarks, a list of hosts, and failures
// that can be switched while it runs.
package objectapi

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/platform"
)

const (
	historyKept      = 20000 // events that a watch can start behind
	pageBytes        = 4 << 20
	bookmarkInterval = 2 * time.Second
)

type objectID struct {
	kind platform.Kind
	name string
}

// Server is the stand-in. Create it with New.
type Server struct {
	Faults fault.Switch

	mu      sync.Mutex
	version int64
	objects map[objectID]platform.Object
	history []platform.Event
	changed chan struct{} // closed and replaced at each write
	hosts   []platform.HostEntry

	reads, writes, throttled atomic.Int64
	windowStart              time.Time
	windowCalls              int
}

// New returns an empty store.
func New() *Server {
	return &Server{objects: map[objectID]platform.Object{}, changed: make(chan struct{})}
}

// Handler returns the HTTP surface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/objects/{kind}/{name}", s.guard(s.get))
	mux.Handle("PUT /v1/objects/{kind}/{name}", s.guard(s.put))
	mux.Handle("DELETE /v1/objects/{kind}/{name}", s.guard(s.delete))
	mux.Handle("GET /v1/objects/{kind}", s.guard(s.list))
	mux.Handle("GET /v1/watch/{kind}", s.guard(s.watch))
	mux.Handle("GET /v1/hosts", s.guard(s.listHosts))
	mux.HandleFunc("PUT /control/hosts", s.putHosts)
	mux.Handle("/control/faults", &s.Faults)
	mux.HandleFunc("GET /control/calls", s.calls)
	return mux
}

// guard applies outage, latency and the call limit, and counts the call.
func (s *Server) guard(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults.Get()
		if f.Latency > 0 {
			time.Sleep(f.Latency)
		}
		if f.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if f.RejectRate > 0 && !s.admitCall(f.RejectRate) {
			s.throttled.Add(1)
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		if r.Method == http.MethodGet {
			s.reads.Add(1)
		} else {
			s.writes.Add(1)
		}
		next(w, r)
	})
}

func (s *Server) admitCall(limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart = now
		s.windowCalls = 0
	}
	s.windowCalls++
	return s.windowCalls <= limit
}

func idOf(r *http.Request) objectID {
	return objectID{platform.Kind(r.PathValue("kind")), r.PathValue("name")}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[idOf(r)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "object not found", http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if len(body) > platform.MaxValueBytes {
		http.Error(w, "value exceeds a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(body) {
		http.Error(w, "value is not JSON", http.StatusBadRequest)
		return
	}
	o, status := s.store(idOf(r), body, r.Header)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if s.Faults.TakeOne(func(f *fault.Set) *int { return &f.LoseAnswers }) {
		fault.Cut(w)
		return
	}
	writeJSON(w, o)
}

func (s *Server) store(id objectID, body []byte, header http.Header) (platform.Object, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[id]
	if status := checkCondition(header, current, exists); status != http.StatusOK {
		return platform.Object{}, status
	}
	s.version++
	o := platform.Object{Kind: id.kind, Name: id.name, Version: s.version, Value: body}
	s.objects[id] = o
	s.record(platform.Event{Type: platform.EventPut, Object: o})
	return o, http.StatusOK
}

// checkCondition accepts a write only with a condition, as the platform does.
func checkCondition(header http.Header, current platform.Object, exists bool) int {
	if header.Get("If-None-Match") == "*" {
		if exists {
			return http.StatusPreconditionFailed
		}
		return http.StatusOK
	}
	match, err := strconv.Unquote(header.Get("If-Match"))
	if err != nil {
		return http.StatusPreconditionRequired
	}
	if !exists {
		return http.StatusNotFound
	}
	if match != strconv.FormatInt(current.Version, 10) {
		return http.StatusPreconditionFailed
	}
	return http.StatusOK
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	id := idOf(r)
	s.mu.Lock()
	current, exists := s.objects[id]
	status := checkCondition(r.Header, current, exists)
	if status == http.StatusOK {
		s.version++
		delete(s.objects, id)
		gone := platform.Object{Kind: id.kind, Name: id.name, Version: s.version}
		s.record(platform.Event{Type: platform.EventDelete, Object: gone})
	}
	s.mu.Unlock()
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if s.Faults.TakeOne(func(f *fault.Set) *int { return &f.LoseAnswers }) {
		fault.Cut(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// record appends to the history and wakes the watches; the caller holds mu.
func (s *Server) record(e platform.Event) {
	s.history = append(s.history, e)
	if len(s.history) > 2*historyKept {
		s.history = append([]platform.Event(nil), s.history[len(s.history)-historyKept:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := platform.Kind(r.PathValue("kind"))
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	page := platform.ListPage{Items: []platform.Object{}, Version: s.version}
	for id, o := range s.objects {
		if id.kind == kind && strings.HasPrefix(id.name, prefix) && id.name > after {
			page.Items = append(page.Items, o)
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Name < page.Items[j].Name })
	truncate(&page)
	writeJSON(w, page)
}

// truncate keeps at least one item and about pageBytes of values.
func truncate(page *platform.ListPage) {
	size := 0
	for i, o := range page.Items {
		size += len(o.Value)
		if size > pageBytes && i > 0 {
			page.Items = page.Items[:i]
			page.Next = page.Items[i-1].Name
			return
		}
	}
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	hosts := append([]platform.HostEntry{}, s.hosts...)
	s.mu.Unlock()
	writeJSON(w, hosts)
}

func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []platform.HostEntry
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, "host list is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.hosts = hosts
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Calls counts the calls that the platform would charge.
type Calls struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Throttled int64 `json:"throttled"`
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Calls{Reads: s.reads.Load(), Writes: s.writes.Load(), Throttled: s.throttled.Load()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
