package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticscale/masticscale/internal/emulator/fault"
)

const (
	defaultMaxTokens   = 16
	crashMarker        = "crash-this-engine" // prompts that contain this text crash the engine
	crashExitCode      = 70
	maxRequestLogBytes = 8 << 20
	requestIDHeader    = "X-Request-Id" // echoed so that clients can detect a response to another request
)

// Options configures an engine.
type Options struct {
	Name  string
	Slots int // maximum number of running requests; further requests wait
	Cost  Cost
	// IgnoreFencing makes the engine apply orders with outdated fencing tokens too.
	IgnoreFencing bool
	// Crash is called on a prompt with the crash marker or on a crash fault. The
	// default exits the process.
	Crash func()
}

// Server emulates one engine. Create it with New.
type Server struct {
	Faults fault.Injector

	options  Options
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	arrived  atomic.Int64
	started  atomic.Int64
	finished atomic.Int64
	aborted  atomic.Int64
	tokens   atomic.Int64

	mu         sync.Mutex
	orders     orderLog
	executions map[string]int // number of requests received, by prompt
	requestLog strings.Builder
}

// New returns an engine without faults.
func New(o Options) *Server {
	if o.Crash == nil {
		o.Crash = func() { os.Exit(crashExitCode) }
	}
	return &Server{options: o, slots: make(chan struct{}, o.Slots), executions: map[string]int{}}
}

// Handler returns the handler of the engine's API and of its control endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	mux.HandleFunc("POST /v1/completions", s.handleCompletion)
	mux.HandleFunc("POST /v1/orders", s.handleOrder)
	mux.HandleFunc("GET /control/orders", s.serveOrders)
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.Handle("/control/faults", &s.Faults)
	mux.HandleFunc("GET /control/executions", s.serveExecutions)
	mux.HandleFunc("GET /control/seen", s.serveRequestLog)
	return mux
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type request struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

func (r request) promptText() string {
	var b strings.Builder
	b.WriteString(r.Prompt)
	for _, m := range r.Messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		b.WriteString(text)
	}
	return b.String()
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(requestIDHeader); id != "" {
		w.Header().Set(requestIDHeader, id)
	}
	body, req, err := readRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := req.promptText()
	s.arrived.Add(1)
	s.recordRequest(r, body, prompt)
	f := s.Faults.Get()
	if f.Crash || !f.SurviveCrashMarker && strings.Contains(prompt, crashMarker) {
		s.options.Crash()
		fault.CloseConnection(w)
		return
	}
	if f.Unresponsive {
		<-r.Context().Done()
		return
	}
	if f.Down {
		http.Error(w, "engine is overloaded", http.StatusServiceUnavailable)
		return
	}
	if s.Faults.Consume(func(f *fault.Faults) *int { return &f.CutBeforeHeaders }) {
		fault.CloseConnection(w)
		return
	}
	if !s.acquireSlot(r.Context()) {
		s.aborted.Add(1)
		return
	}
	defer s.releaseSlot()
	s.generate(w, r.Context(), req, prompt)
}

// acquireSlot waits for a slot in the running batch. It returns false if ctx is
// done first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	s.running.Add(-1)
	<-s.slots
}

func (s *Server) generate(w http.ResponseWriter, ctx context.Context, req request, prompt string) {
	s.started.Add(1)
	if !sleepContext(ctx, s.options.Cost.PrefillTime(CountTokens(prompt))+s.Faults.Get().Latency) {
		s.aborted.Add(1)
		return
	}
	out := newCompletionWriter(w, req, s.options.Name, CountTokens(prompt))
	words := CompletionWords(prompt, req.MaxTokens)
	cut := s.Faults.Consume(func(f *fault.Faults) *int { return &f.CutMidResponse })
	for i, word := range words {
		if !sleepContext(ctx, s.options.Cost.StepTime(int(s.running.Load()))) {
			s.aborted.Add(1)
			return
		}
		if cut && i == len(words)/2 {
			fault.CloseConnection(w)
			return
		}
		s.tokens.Add(1)
		out.writeWord(word)
	}
	out.finish()
	s.finished.Add(1)
}

// sleepContext returns false if ctx is done before the time has passed.
func sleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if f := s.Faults.Get(); f.Leaving || f.Down {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}

// serveMetrics reports the engine's load in the Prometheus text format.
func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = fmt.Fprintf(w, "engine_requests_running %d\n", s.running.Load())
	_, _ = fmt.Fprintf(w, "engine_requests_waiting %d\n", s.waiting.Load())
	_, _ = fmt.Fprintf(w, "engine_slots %d\n", s.options.Slots)
	_, _ = fmt.Fprintf(w, "engine_requests_arrived_total %d\n", s.arrived.Load())
	_, _ = fmt.Fprintf(w, "engine_requests_started_total %d\n", s.started.Load())
	_, _ = fmt.Fprintf(w, "engine_requests_finished_total %d\n", s.finished.Load())
	_, _ = fmt.Fprintf(w, "engine_requests_aborted_total %d\n", s.aborted.Load())
	_, _ = fmt.Fprintf(w, "engine_tokens_generated_total %d\n", s.tokens.Load())
}

// recordRequest logs a received request, so that tests can count executions and
// check that no API keys reach the engine.
func (s *Server) recordRequest(r *http.Request, body []byte, prompt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[prompt]++
	if s.requestLog.Len() > maxRequestLogBytes {
		return
	}
	fmt.Fprintf(&s.requestLog, "%s %s\n", r.Method, r.URL)
	_ = r.Header.Write(&s.requestLog)
	s.requestLog.Write(body)
	s.requestLog.WriteByte('\n')
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
	_, _ = w.Write([]byte(s.requestLog.String()))
}
