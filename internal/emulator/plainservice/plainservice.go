// Package plainservice emulates a plain HTTP service. It counts the executions of
// each request, so that tests can detect repeated executions.
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
	requestNumberHeader = "X-Request-Number" // set by the test to identify the request
	maxBodyBytes        = 16 << 20
)

// Server emulates one service. The zero value is ready to use.
type Server struct {
	Faults fault.Injector

	mu         sync.Mutex
	executions map[string]int
	requestLog strings.Builder
}

// Handler returns the handler of the service and of its control endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/control/faults", &s.Faults)
	mux.HandleFunc("GET /control/executions", s.serveExecutions)
	mux.HandleFunc("GET /control/seen", s.serveRequestLog)
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /metrics", http.NotFound) // plain services do not report load
	mux.HandleFunc("/", s.handleRequest)
	return mux
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if f := s.Faults.Get(); f.Leaving || f.Down {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// Response is the body of the service's response.
type Response struct {
	Number string `json:"number"` // request number, or the body if there is none
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"` // number of executions of this request so far
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	number := r.Header.Get(requestNumberHeader)
	if number == "" {
		number = string(body)
	}
	run := s.recordExecution(r, number, body)
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

// recordExecution logs the request and returns how often it has been executed.
func (s *Server) recordExecution(r *http.Request, number string, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[number]++
	fmt.Fprintf(&s.requestLog, "%s %s\n", r.Method, r.URL)
	_ = r.Header.Write(&s.requestLog)
	s.requestLog.Write(body)
	s.requestLog.WriteByte('\n')
	return s.executions[number]
}

func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.executions)
}

func (s *Server) serveRequestLog(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(w, s.requestLog.String())
}
