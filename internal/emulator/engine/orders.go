package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// orders holds the orders that an engine has carried out.
type orders struct {
	mu      sync.Mutex
	highest int64
	applied []AppliedOrder
}

// AppliedOrder is one order that was carried out.
type AppliedOrder struct {
	Fencing int64           `json:"fencing"`
	Desired json.RawMessage `json:"desired"`
}

// order carries out an order. An engine that checks refuses one whose fencing
// number is not above every earlier one.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var req AppliedOrder
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "order is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.Faults.Get().Latency)
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	if !s.options.IgnoreFencing && req.Fencing <= s.orders.highest {
		http.Error(w, "a newer order has been seen", http.StatusConflict)
		return
	}
	s.orders.highest = max(s.orders.highest, req.Fencing)
	s.orders.applied = append(s.orders.applied, req)
	w.WriteHeader(http.StatusOK)
}

// AppliedOrders returns the orders that were carried out, oldest first.
func (s *Server) AppliedOrders() []AppliedOrder {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return append([]AppliedOrder{}, s.orders.applied...)
}

func (s *Server) listOrders(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.AppliedOrders())
}
