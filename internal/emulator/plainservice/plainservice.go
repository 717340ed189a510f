// Package plainservice is a stand-in for a plain HTTP service. It counts each
// execution by the request's id, so that a test can see how often it ran.
package plainservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/emulator/fault"
)

const (
	requestIDHeader = "X-Request-Number" // the test's own number of the request
	maxBodyBytes    = 16 << 20
)

// Server is the stand-in. The zero value is ready.
type Server struct {
	Faults fault.Injector

	mu         sync.Mutex
	executions map[string]int
	seen       strings.Builder
}

// Handler returns the HTTP surface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/control/faults", &s.Faults)
	mux.HandleFunc("GET /control/executions", s.list)
	mux.HandleFunc("GET /control/seen", s.listSeen)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /metrics", http.NotFound) // plain services report no load
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if f := s.Faults.Get(); f.Leaving || f.Down {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// Response is the service's answer.
type Response struct {
	Number string `json:"number"` // the request's own number
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"` // how often this number has run
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	number := r.Header.Get(requestIDHeader)
	if number == "" {
		number = string(body)
	}
	run := s.execute(r, number, body)
	f := s.Faults.Get()
	if f.Unresponsive {
		<-r.Context().Done()
		return
	}
	time.Sleep(f.Latency)
	if s.Faults.Consume(func(f *fault.Faults) *int { return &f.CutBeforeHeaders }) {
		fault.CloseConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if s.Faults.Consume(func(f *fault.Faults) *int { return &f.CutMidResponse }) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, `{"number":`)
		_ = http.NewResponseController(w).Flush()
		fault.CloseConnection(w)
		return
	}
	_ = json.NewEncoder(w).Encode(Response{Number: number, Path: r.URL.Path, Body: string(body), Run: run})
}

func (s *Server) execute(r *http.Request, number string, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[number]++
	fmt.Fprintf(&s.seen, "%s %s\n", r.Method, r.URL)
	_ = r.Header.Write(&s.seen)
	s.seen.Write(body)
	s.seen.WriteByte('\n')
	return s.executions[number]
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.executions)
}

func (s *Server) listSeen(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(w, s.seen.String())
}
