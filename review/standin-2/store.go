package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeFault is what the store does with a call of one host.
type storeFault int

const (
	serveCall storeFault = iota
	silentCall
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store stands in for the platform's metadata store. Each host has an address of its own
// there, so that a fault may concern one host alone.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	fault    func(host string, r *http.Request) storeFault // nil is none
	delay    time.Duration                                 // of each answer
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, changed: make(chan struct{}), revision: 100, delay: 4 * time.Millisecond}
}

// listen serves the calls of one host and returns the address.
func (s *store) listen(host string) string {
	l := listen()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(host, w, r) })}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func (s *store) setFault(f func(host string, r *http.Request) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *store) serve(host string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	fault, delay := serveCall, s.delay
	if s.fault != nil {
		fault = s.fault(host, r)
	}
	s.mu.Unlock()
	if fault == silentCall {
		<-r.Context().Done()
		return
	}
	time.Sleep(delay)
	status, answer := s.call(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) call(r *http.Request, body []byte) (int, any) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind := parts[0]
	query := r.URL.Query()
	if r.Method == http.MethodGet && len(parts) == 1 && query.Has("watch") {
		return s.watch(r, kind)
	}
	var in object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			return http.StatusBadRequest, "unreadable"
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1:
		return http.StatusOK, s.list(kind, query.Get("after"))
	case r.Method == http.MethodGet:
		if o, ok := s.objects[kind][parts[1]]; ok {
			return http.StatusOK, o
		}
		return http.StatusNotFound, "none"
	case r.Method == http.MethodPost:
		if o, ok := s.objects[kind][in.Metadata.Name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.put(kind, object{Metadata: metadata{Name: in.Metadata.Name}, Spec: in.Spec})
	}
	o, ok := s.objects[kind][parts[1]]
	if !ok {
		return http.StatusNotFound, "none"
	}
	wanted := in.Metadata.Revision
	if n, err := strconv.ParseInt(query.Get("revision"), 10, 64); err == nil {
		wanted = n
	}
	if wanted != 0 && wanted != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	switch {
	case r.Method == http.MethodPut && len(parts) == 3:
		o.Status = in.Status
		return http.StatusOK, s.put(kind, o)
	case r.Method == http.MethodPut:
		o.Spec = in.Spec
		return http.StatusOK, s.put(kind, o)
	}
	s.remove(kind, o)
	return http.StatusOK, o
}

func (s *store) list(kind, after string) any {
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, size, more := []object{}, 0, false
	for _, name := range names {
		o := s.objects[kind][name]
		if size += len(o.Spec); len(items) == 500 || len(items) > 0 && size > 1<<20 {
			more = true
			break
		}
		items = append(items, o)
	}
	return map[string]any{"items": items, "more": more, wire["revision"]: s.revision}
}

// put stores the object. The caller holds mu.
func (s *store) put(kind string, o object) object {
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Revision, o.Metadata.Finalizers = s.revision, []string{}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(change{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) remove(kind string, o object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	o.Metadata.Revision = s.revision
	s.record(change{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, changed, revision := []change{}, s.changed, s.revision
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].revision > after })
		for _, c := range s.history[first:] {
			if c.kind == kind {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, wire["revision"]: revision}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

// write is a write of the operator or of a worker.
func (s *store) write(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		o = object{Metadata: metadata{Name: name}}
	}
	o.Spec = raw
	s.put(kind, o)
}

// delete is the end of an entry.
func (s *store) delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.remove(kind, o)
	}
}

func must(err error) {
	if err != nil {
		panic(cannotRun{fmt.Sprint(err)})
	}
}

// cannotRun is the panic of a case that can't run; it exits with 2.
type cannotRun struct{ why string }
