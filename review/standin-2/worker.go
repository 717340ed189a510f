package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker stands in for a worker that answers with event streams.
type worker struct {
	id, zone, service string
	born              int64
	address           string
	slots             int
	rec               *record
	plan              func(r *http.Request) plan
	store             *store

	mu      sync.Mutex
	running int
	server  *http.Server
}

// plan is how a worker answers a request.
type plan struct {
	status int // 200 is a stream
	first  time.Duration
	events int
	pause  time.Duration
	bytes  int // of an event's data, if it is longer than the usual text
}

// startWorker starts a worker and registers it.
func startWorker(s *store, rec *record, id, zone, service string, p func(r *http.Request) plan) *worker {
	l := listen()
	w := &worker{id: id, zone: zone, service: service, born: time.Now().UnixMilli(), address: l.Addr().String(), slots: 8, rec: rec, plan: p, store: s}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	w.register("ready")
	return w
}

func (w *worker) register(state string) {
	w.store.write("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"cold_left_ms": 0, "stage": "mixed", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": 1, "born": w.born,
	})
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", w.running, w.slots)
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(wire["expected worker"]); expected != "" && expected != w.id {
		out.Header().Set(wire["worker"], w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		out.Header().Set(wire["worker"], w.id)
		out.Header().Set(wire["load"], w.load())
		return
	case r.URL.Path == "/report":
		_, _ = fmt.Fprintf(out, `{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"waiting":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"born":%d}`, w.born)
		return
	}
	id := r.Header.Get(wire["request"])
	out.Header().Set(wire["request"], id)
	if !w.enter() {
		w.shed(out, r)
		return
	}
	defer w.leave()
	out.Header().Set(wire["load"], w.load())
	out.Header().Set(wire["stamp"], "stamp."+id+"."+w.id)
	w.run(out, r, id)
}

// enter takes a slot, if one is free.
func (w *worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots {
		return false
	}
	w.running++
	return true
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func (w *worker) shed(out http.ResponseWriter, r *http.Request) {
	out.Header().Set(wire["request"], r.Header.Get(wire["request"]))
	out.Header().Set(wire["not run"], "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}

func (w *worker) run(out http.ResponseWriter, r *http.Request, id string) {
	p := w.plan(r)
	w.rec.note("run", id, "worker", w.id, "tenant", r.Header.Get(wire["team"]), "after", r.Header.Get("Last-Event-Id"))
	w.rec.began(id, r.Header.Get(wire["team"]))
	if !sleepUnlessGone(r, p.first) {
		w.rec.note("dropped", id, "worker", w.id)
		return
	}
	if p.status != http.StatusOK {
		w.rec.note("failed", id, "worker", w.id, "status", strconv.Itoa(p.status))
		out.WriteHeader(p.status)
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= p.events; n++ {
		if n > from+1 && !sleepUnlessGone(r, p.pause) {
			w.rec.note("dropped", id, "worker", w.id)
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, padded(eventData(id, n), p.bytes))
		_ = http.NewResponseController(out).Flush()
	}
	w.rec.finished(id)
	w.rec.note("finished", id, "worker", w.id)
}

func eventData(id string, n int) string { return "event " + strconv.Itoa(n) + " of " + id }

// padded makes the text as long as given, with text as in a page of HTML.
func padded(text string, length int) string {
	if missing := length - len(text); missing > 0 {
		const more = ` <li class="a">b</li>`
		text += strings.Repeat(more, missing/len(more)+1)[:missing]
	}
	return text
}

// sleepUnlessGone reports whether the caller is still there after the time.
func sleepUnlessGone(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
