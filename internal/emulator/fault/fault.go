// Package fault defines the faults that an emulator can inject, and an HTTP
// endpoint that changes them at run time.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults describes the faults to inject. The zero value injects none.
type Faults struct {
	Down               bool          `json:"down"`                 // reject every call with 503
	Latency            time.Duration `json:"latency"`              // added to every call, in nanoseconds
	LoseWriteResponses int           `json:"lose_answers"`         // number of writes that are applied but whose connection is closed without a response
	CutBeforeHeaders   int           `json:"cut_before_headers"`   // number of requests that count as executed but get no response
	CutMidResponse     int           `json:"cut_mid_answer"`       // number of responses that are truncated
	Unresponsive       bool          `json:"silent"`               // accept requests but never respond
	Crash              bool          `json:"crash"`                // exit the process at once
	SurviveCrashMarker bool          `json:"survive_crash_marker"` // answer prompts that otherwise crash the process
	StaleWatch         bool          `json:"stale_watch"`          // keep watches open but send no events
	MaxCallRate        int           `json:"reject_rate"`          // calls per second above which calls are rejected with 429; 0 means no limit
	Leaving            bool          `json:"leaving"`              // fail health checks, as a server that is shutting down does
}

// Injector holds the current faults. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed when the faults are replaced; nil if unused
}

// Get returns the current faults.
func (s *Injector) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Replace replaces all faults.
func (s *Injector) Replace(set Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = set
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed when the faults are next replaced.
func (s *Injector) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Consume decrements the selected counter if it is positive, and reports whether
// it was.
func (s *Injector) Consume(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP replaces the faults on PUT and returns the current faults.
func (s *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var set Faults
		if err := json.NewDecoder(r.Body).Decode(&set); err != nil {
			http.Error(w, "fault set is not valid JSON: "+err.Error(), http.StatusBadRequest)
			return
		}
		s.Replace(set)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Get())
}

// CloseConnection closes the client's connection without completing the response.
func CloseConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}
