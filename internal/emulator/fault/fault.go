// Package fault holds the failures that a stand-in can be told to show, and
// the HTTP endpoint that switches them while the stand-in runs.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults is the failures in force. The zero value is a healthy stand-in.
type Faults struct {
	Down               bool          `json:"down"`               // refuse every call with 503
	Latency            time.Duration `json:"latency"`            // added to every call, nanoseconds
	LoseWriteResponses int           `json:"lose_answers"`       // writes that take effect but whose connection is cut
	CutBeforeHeaders   int           `json:"cut_before_headers"` // requests that run, then are cut
	CutMidResponse     int           `json:"cut_mid_answer"`     // answers that are cut half way
	Unresponsive       bool          `json:"silent"`             // accept, then say nothing
	Crash              bool          `json:"crash"`              // exit the process at once
	StaleWatch         bool          `json:"stale_watch"`        // keep watches open but send no event
	MaxCallRate        int           `json:"reject_rate"`        // calls a second above which 429 is sent; 0 is no limit
	Leaving            bool          `json:"leaving"`            // answer health checks as a leaving server
}

// Injector guards the failures in force.
type Injector struct {
	mu      sync.Mutex
	set     Faults
	changed chan struct{} // closed at each change; nil until somebody waits
}

// Get returns the failures in force.
func (s *Injector) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Replace replaces the failures in force.
func (s *Injector) Replace(set Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = set
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that closes when the failures are next replaced.
func (s *Injector) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Consume counts down the counter that pick selects and reports whether it was
// above zero.
func (s *Injector) Consume(pick func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := pick(&s.set)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP reads the failures with GET and replaces them with PUT.
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

// CloseConnection closes the connection without an answer.
func CloseConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}
