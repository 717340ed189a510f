package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// orderLog records the orders that an engine has applied.
type orderLog struct {
	mu             sync.Mutex
	highestFencing int64
	applied        []AppliedOrder
}

// AppliedOrder is an order that the engine has applied.
type AppliedOrder struct {
	Fencing int64           `json:"fencing"`
	Desired json.RawMessage `json:"desired"`
}

// handleOrder applies an order. Unless IgnoreFencing is set, it rejects an order
// whose fencing token is not higher than all earlier ones.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var req AppliedOrder
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "order is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.Faults.Get().Latency)
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	if !s.options.IgnoreFencing && req.Fencing <= s.orders.highestFencing {
		http.Error(w, "a newer order has been seen", http.StatusConflict)
		return
	}
	s.orders.highestFencing = max(s.orders.highestFencing, req.Fencing)
	s.orders.applied = append(s.orders.applied, req)
	w.WriteHeader(http.StatusOK)
}

// AppliedOrders returns the applied orders, oldest first.
func (s *Server) AppliedOrders() []AppliedOrder {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return append([]AppliedOrder{}, s.orders.applied...)
}

func (s *Server) serveOrders(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.AppliedOrders())
}
