package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// work is the body of a request to a worker stand-in. It says how the worker answers.
type work struct {
	Events   int    `json:"events"`
	PauseMS  int    `json:"pause_ms"`
	Deadly   bool   `json:"deadly,omitempty"`   // the request crashes each worker that begins to run it
	Unframed bool   `json:"unframed,omitempty"` // the answer has no length and ends with its channel
	Pad      string `json:"pad,omitempty"`
}

// eventData is the data of event n of the answer to a request.
func eventData(id string, n int) string { return fmt.Sprintf("%s:%d", id, n) }

// expectedOutput is the output of an item whose answer has the number of events.
func expectedOutput(id string, events int) string {
	lines := make([]string, 0, events)
	for n := 1; n <= events; n++ {
		lines = append(lines, eventData(id, n))
	}
	return strings.Join(lines, "\n")
}

// worker is a stand-in for a worker of PROTOCOL.md.
type worker struct {
	id, service, zone, address, store string
	slots                             int
	born                              int64
	inUse                             chan struct{}
	waiting                           chan struct{}
	logMu                             sync.Mutex
	log                               *json.Encoder
}

// run is a line of a worker's log.
type run struct {
	At      int64  `json:"at_ms"` // Unix time
	Worker  string `json:"worker"`
	What    string `json:"what"` // begin, event, end, refuse, crash
	Request string `json:"request,omitempty"`
	Event   int    `json:"event,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
}

func (w *worker) note(what, request string, event int, tenant string) {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	_ = w.log.Encode(run{At: time.Now().UnixMilli(), Worker: w.id, What: what, Request: request, Event: event, Tenant: tenant})
}

// runWorker serves until the process is killed.
func runWorker(args []string) error {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	w := &worker{born: time.Now().UnixMilli()}
	flags.StringVar(&w.id, "id", "", "id of the worker")
	flags.StringVar(&w.service, "service", "", "service of the worker")
	flags.StringVar(&w.zone, "zone", "", "zone of the worker")
	flags.StringVar(&w.address, "listen", "", "address, ip:port")
	flags.StringVar(&w.store, "store", "", "address of the platform's store")
	flags.IntVar(&w.slots, "slots", 8, "requests at once")
	logPath := flags.String("log", "", "file for the runs")
	if err := flags.Parse(args); err != nil {
		return err
	}
	logFile, err := os.OpenFile(*logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	w.log = json.NewEncoder(logFile)
	w.inUse, w.waiting = make(chan struct{}, w.slots), make(chan struct{}, w.slots+24)
	socket, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	go w.register()
	server := &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(socket)
}

// register writes the worker's entry, and again at each heartbeat.
func (w *worker) register() {
	for seq := 0; ; seq++ {
		spec := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "1", "slots": w.slots, "state": "ready",
			"cold_left_ms": 0, "seq": seq, "born": w.born,
		}
		if err := putObject(w.store, "servers", w.id, spec); err != nil {
			fmt.Fprintln(os.Stderr, "register:", err)
		}
		time.Sleep(heartbeat)
	}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		out.Header().Set(wire["worker"], w.id)
		out.WriteHeader(http.StatusOK)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/report" {
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"stage": "mixed", "born": w.born, "running": len(w.inUse), "waiting": 0})
		return
	}
	id := r.Header.Get(wire["request"])
	out.Header().Set(wire["request"], id)
	out.Header().Set(wire["load"], fmt.Sprintf("%d,%d,%d", len(w.inUse), max(len(w.waiting)-len(w.inUse), 0), w.slots))
	if expected := r.Header.Get(wire["expected worker"]); expected != "" && expected != w.id {
		out.Header().Set(wire["worker"], w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case w.waiting <- struct{}{}:
	default:
		w.note("refuse", id, 0, "")
		out.Header().Set(wire["not run"], "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.waiting }()
	select {
	case w.inUse <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.inUse }()
	var job work
	if err := json.Unmarshal(body, &job); err != nil {
		out.Header().Set(wire["stamp"], "stamp-"+w.id)
		out.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero without the header
	w.note("begin", id, after, r.Header.Get(wire["team"]))
	if job.Deadly {
		time.Sleep(30 * time.Millisecond)
		w.note("crash", id, 0, "")
		os.Exit(3)
	}
	if job.Unframed {
		w.streamUnframed(out, id, after, job)
		return
	}
	out.Header().Set(wire["stamp"], "stamp-"+w.id)
	out.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(out).Flush
	if w.stream(r.Context(), out, flush, id, after, job) {
		w.note("end", id, job.Events, "")
	}
}

// stream writes the events after the given one. It reports whether it has written them all.
func (w *worker) stream(ctx context.Context, out io.Writer, flush func() error, id string, after int, job work) bool {
	for n := after + 1; n <= job.Events; n++ {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(job.PauseMS) * time.Millisecond):
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return false
		}
		if flush() != nil {
			return false
		}
		w.note("event", id, n, "")
	}
	return true
}

// streamUnframed answers without a length and closes the channel after the last event.
func (w *worker) streamUnframed(out http.ResponseWriter, id string, after int, job work) {
	conn, buffered, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", wire["request"], id, wire["stamp"], w.id)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { // the host closes the channel: the run is dropped
		_, _ = io.Copy(io.Discard, buffered.Reader)
		cancel()
	}()
	if w.stream(ctx, buffered, buffered.Flush, id, after, job) {
		w.note("end", id, job.Events, "")
	}
}

// readRuns reads the logs of workers.
func readRuns(path string) []run {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	var runs []run
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		var r run
		if json.Unmarshal(lines.Bytes(), &r) == nil {
			runs = append(runs, r)
		}
	}
	return runs
}
