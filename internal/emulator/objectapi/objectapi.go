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
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

const (
	historyKept = 20000 // events that a watch can start behind
	pageBytes   = 1 << 20
	pageItems   = 500
)

type objectID struct {
	kind objstore.Kind
	name string
}

// Server is the stand-in. Create it with New.
type Server struct {
	Faults fault.Injector

	mu      sync.Mutex
	version int64
	objects map[objectID]objstore.Object
	history []objstore.Event
	changed chan struct{} // closed and replaced at each write

	reads, writes, throttled atomic.Int64
	windowStart              time.Time
	windowCalls              int
}

// New returns an empty store.
func New() *Server {
	return &Server{objects: map[objectID]objstore.Object{}, changed: make(chan struct{})}
}

// Handler returns the HTTP surface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("GET /objects/{kind}/{name}", s.guard(s.get))
	mux.Handle("POST /objects/{kind}", s.guard(s.create))
	mux.Handle("PUT /objects/{kind}/{name}", s.guard(s.replace))
	mux.Handle("PUT /objects/{kind}/{name}/status", s.guard(s.replaceStatus))
	mux.Handle("DELETE /objects/{kind}/{name}", s.guard(s.delete))
	mux.Handle("GET /objects/{kind}", s.guard(s.listOrWatch))
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
		if f.MaxCallRate > 0 && !s.admitCall(f.MaxCallRate) {
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
	return objectID{objstore.Kind(r.PathValue("kind")), r.PathValue("name")}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[idOf(r)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "object not found", http.StatusNotFound)
		return
	}
	writeJSON(w, encode(o))
}

func encode(o objstore.Object) platform.StoreObject {
	return platform.StoreObject{
		Metadata: platform.StoreMetadata{Name: o.Name, Version: o.Version, Finalizers: []string{}},
		Spec:     o.Value,
		Status:   o.Status,
	}
}

// readObject reads the object of a write, or answers why it can't be taken.
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
	s.answerWrite(w, o)
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(o *objstore.Object, in platform.StoreObject) { o.Value = in.Spec })
}

func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(o *objstore.Object, in platform.StoreObject) { o.Status = in.Status })
}

// change replaces a part of an object if it has the version that is asked for.
func (s *Server) change(w http.ResponseWriter, r *http.Request, set func(*objstore.Object, platform.StoreObject)) {
	in, ok := readObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	o, exists := s.objects[idOf(r)]
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
		s.answerWrite(w, o)
	}
}

// put stores the object under a new version; the caller holds mu.
func (s *Server) put(o objstore.Object) objstore.Object {
	s.version++
	o.Version = s.version
	s.objects[objectID{o.Kind, o.Name}] = o
	s.record(objstore.Event{Type: objstore.EventPut, Object: o})
	return o
}

func (s *Server) answerWrite(w http.ResponseWriter, o objstore.Object) {
	if s.Faults.Consume(func(f *fault.Faults) *int { return &f.LoseWriteResponses }) {
		fault.CloseConnection(w)
		return
	}
	writeJSON(w, encode(o))
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	id := idOf(r)
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
		s.answerWrite(w, current)
	}
}

// record appends to the history and wakes the watches; the caller holds mu.
func (s *Server) record(e objstore.Event) {
	s.history = append(s.history, e)
	if len(s.history) > 2*historyKept {
		s.history = append([]objstore.Event(nil), s.history[len(s.history)-historyKept:]...)
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
	fill(&page, found)
	writeJSON(w, page)
}

// fill takes at least one object and about a page's bytes.
func fill(page *platform.StoreList, found []objstore.Object) {
	size := 0
	for i, o := range found {
		size += len(o.Value) + len(o.Status)
		if i > 0 && (size > pageBytes || i >= pageItems) {
			page.More = true
			return
		}
		page.Items = append(page.Items, mustEncode(encode(o)))
	}
}

// mustEncode encodes a value that is known to be valid JSON.
func mustEncode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// putHosts replaces the entries of the machines that upstreams run on.
func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []objstore.HostEntry
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, "host list is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, h := range hosts {
		s.put(objstore.Object{Kind: platform.KindUpstreams, Name: h.Name, Value: mustEncode(platform.NewUpstreamEntry(h))})
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// CallCounts counts the calls that the platform would charge.
type CallCounts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Throttled int64 `json:"throttled"`
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, CallCounts{Reads: s.reads.Load(), Writes: s.writes.Load(), Throttled: s.throttled.Load()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
