// Package objectapi emulates the platform's object API: versions, conditional
// writes, watches with bookmarks, a list of hosts, and fault injection at run
// time.
package objectapi

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

const (
	minHistoryEvents = 20000 // minimum number of past events kept for watches to resume from
	maxPageBytes     = 1 << 20
	maxPageItems     = 500
)

type objectID struct {
	kind objstore.Kind
	name string
}

// Server emulates the object API. Create it with New.
type Server struct {
	Faults fault.Injector

	mu      sync.Mutex
	version int64
	objects map[objectID]objstore.Object
	history []objstore.Event
	changed chan struct{} // closed and replaced on each write

	reads, writes, throttled atomic.Int64
	windowStart              time.Time
	windowCalls              int
}

// New returns a server with an empty store.
func New() *Server {
	return &Server{objects: map[objectID]objstore.Object{}, changed: make(chan struct{})}
}

// Handler returns the handler of the object API and of its control endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("GET /objects/{kind}/{name}", s.withFaults(s.get))
	mux.Handle("POST /objects/{kind}", s.withFaults(s.create))
	mux.Handle("PUT /objects/{kind}/{name}", s.withFaults(s.replace))
	mux.Handle("PUT /objects/{kind}/{name}/status", s.withFaults(s.replaceStatus))
	mux.Handle("DELETE /objects/{kind}/{name}", s.withFaults(s.delete))
	mux.Handle("GET /objects/{kind}", s.withFaults(s.listOrWatch))
	mux.HandleFunc("PUT /control/hosts", s.putHosts)
	mux.Handle("/control/faults", &s.Faults)
	mux.HandleFunc("GET /control/calls", s.serveCallCounts)
	return mux
}

// withFaults injects latency, unavailability and the rate limit, and counts the
// calls.
func (s *Server) withFaults(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults.Get()
		if f.Latency > 0 {
			time.Sleep(f.Latency)
		}
		if f.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if f.MaxCallRate > 0 && !s.allowCall(f.MaxCallRate) {
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

func (s *Server) allowCall(limit int) bool {
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

func objectIDFromRequest(r *http.Request) objectID {
	return objectID{objstore.Kind(r.PathValue("kind")), r.PathValue("name")}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[objectIDFromRequest(r)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "object not found", http.StatusNotFound)
		return
	}
	writeJSON(w, toStoreObject(o))
}

func toStoreObject(o objstore.Object) platform.StoreObject {
	return platform.StoreObject{
		Metadata: platform.StoreMetadata{Name: o.Name, Version: o.Version, Finalizers: []string{}},
		Spec:     o.Value,
		Status:   o.Status,
	}
}

// readObject reads the object from the body of a write. If it returns false, it
// has sent an error response.
func readObject(w http.ResponseWriter, r *http.Request) (platform.StoreObject, bool) {
	var o platform.StoreObject
	body, err := io.ReadAll(io.LimitReader(r.Body, objstore.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusBadRequest)
		return o, false
	}
	if len(body) > objstore.MaxValueBytes {
		http.Error(w, "value exceeds a megabyte", http.StatusRequestEntityTooLarge)
		return o, false
	}
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, "value is not an object: "+err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	in, ok := readObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	id := objectID{objstore.Kind(r.PathValue("kind")), in.Metadata.Name}
	_, exists := s.objects[id]
	var o objstore.Object
	if !exists {
		o = s.put(objstore.Object{Kind: id.kind, Name: id.name, Value: in.Spec})
	}
	s.mu.Unlock()
	if exists {
		http.Error(w, "object exists", http.StatusConflict)
		return
	}
	s.respondToWrite(w, o)
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(o *objstore.Object, in platform.StoreObject) { o.Value = in.Spec })
}

func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(o *objstore.Object, in platform.StoreObject) { o.Status = in.Status })
}

// update changes an object with set if the object has the requested version, or
// if none is requested.
func (s *Server) update(w http.ResponseWriter, r *http.Request, set func(*objstore.Object, platform.StoreObject)) {
	in, ok := readObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	o, exists := s.objects[objectIDFromRequest(r)]
	matches := in.Metadata.Version == 0 || in.Metadata.Version == o.Version
	if exists && matches {
		set(&o, in)
		o = s.put(o)
	}
	s.mu.Unlock()
	switch {
	case !exists:
		http.Error(w, "object not found", http.StatusNotFound)
	case !matches:
		http.Error(w, "object has another version", http.StatusConflict)
	default:
		s.respondToWrite(w, o)
	}
}

// put stores the object under a new version. The caller holds mu.
func (s *Server) put(o objstore.Object) objstore.Object {
	s.version++
	o.Version = s.version
	s.objects[objectID{o.Kind, o.Name}] = o
	s.record(objstore.Event{Type: objstore.EventPut, Object: o})
	return o
}

// respondToWrite sends the written object, or closes the connection if the
// response is to be lost.
func (s *Server) respondToWrite(w http.ResponseWriter, o objstore.Object) {
	if s.Faults.Consume(func(f *fault.Faults) *int { return &f.LoseWriteResponses }) {
		fault.CloseConnection(w)
		return
	}
	writeJSON(w, toStoreObject(o))
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	id := objectIDFromRequest(r)
	s.mu.Lock()
	current, exists := s.objects[id]
	wanted := r.FormValue(platform.QueryVersion)
	matches := wanted == "" || wanted == strconv.FormatInt(current.Version, 10)
	if exists && matches {
		s.version++
		delete(s.objects, id)
		current.Version = s.version
		s.record(objstore.Event{Type: objstore.EventDelete, Object: current})
	}
	s.mu.Unlock()
	switch {
	case !exists:
		http.Error(w, "object not found", http.StatusNotFound)
	case !matches:
		http.Error(w, "object has another version", http.StatusConflict)
	default:
		s.respondToWrite(w, current)
	}
}

// record appends to the history and wakes the watchers. The caller holds mu.
func (s *Server) record(e objstore.Event) {
	s.history = append(s.history, e)
	if len(s.history) > 2*minHistoryEvents {
		s.history = append([]objstore.Event(nil), s.history[len(s.history)-minHistoryEvents:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.FormValue(platform.QueryWatch) != "" {
		s.watch(w, r)
		return
	}
	s.list(w, r)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := objstore.Kind(r.PathValue("kind"))
	after := r.FormValue(platform.QueryAfter)
	s.mu.Lock()
	page := platform.StoreList{Items: []json.RawMessage{}, Version: s.version}
	var found []objstore.Object
	for id, o := range s.objects {
		if id.kind == kind && id.name > after {
			found = append(found, o)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	fillPage(&page, found)
	writeJSON(w, page)
}

// fillPage adds at least one object, and more up to about maxPageBytes or
// maxPageItems.
func fillPage(page *platform.StoreList, found []objstore.Object) {
	size := 0
	for i, o := range found {
		size += len(o.Value) + len(o.Status)
		if i > 0 && (size > maxPageBytes || i >= maxPageItems) {
			page.More = true
			return
		}
		page.Items = append(page.Items, mustMarshal(toStoreObject(o)))
	}
}

// mustMarshal encodes a value that is known to be encodable. It panics on errors.
func mustMarshal(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// putHosts creates or replaces the objects of the hosts that upstreams run on.
func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []objstore.HostEntry
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, "host list is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, h := range hosts {
		s.put(objstore.Object{Kind: platform.KindUpstreams, Name: h.Name, Value: mustMarshal(platform.NewUpstreamEntry(h))})
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// CallCounts counts the calls that the platform would bill, and those rejected by
// the rate limit.
type CallCounts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Throttled int64 `json:"throttled"`
}

func (s *Server) serveCallCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, CallCounts{Reads: s.reads.Load(), Writes: s.writes.Load(), Throttled: s.throttled.Load()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
