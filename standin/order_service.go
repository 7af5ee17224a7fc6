package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/rank"
)

type (
	// OrderServiceOptions configures a simulated order service.
	OrderServiceOptions struct {
		Address string        // to listen on
		Delay   time.Duration // between recording an order and the response
		Dedupe  bool          // return the recorded order for a repeated Idempotency-Key
	}

	// OrderService is a simulated order service: POST /orders records an order,
	// GET /orders lists the recorded ones, and GET /stock returns a fixed
	// stock count. Create it with NewOrderService.
	OrderService struct {
		options OrderServiceOptions
		server  *gate.Server

		mu     rank.Mutex
		orders []RecordedOrder
		byKey  map[string]RecordedOrder
	}

	// RecordedOrder is an order that a service has recorded.
	RecordedOrder struct {
		Number int    `json:"number"` // position in the order of recording, from 1
		Key    string `json:"key"`    // idempotency key
		Text   string `json:"text"`   // request body
	}
)

// NewOrderService starts a simulated order service.
func NewOrderService(options OrderServiceOptions) (*OrderService, error) {
	s := &OrderService{options: options, mu: rank.New(rank.Standin), byKey: map[string]RecordedOrder{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.serveOrder)
	mux.HandleFunc("GET /orders", s.serveList)
	mux.HandleFunc("GET /stock", s.serveStock)
	mux.HandleFunc("GET /healthz", s.serveHealth)
	server, err := gate.New(options.Address, mux, gate.DefaultLimits(), nil)
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// Address returns the address on which the service listens.
func (s *OrderService) Address() string { return s.server.Address() }

// Stop ends the service at once and breaks its connections, as a crash does.
func (s *OrderService) Stop() { s.server.Close() }

// Orders returns the recorded orders.
func (s *OrderService) Orders() []RecordedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RecordedOrder(nil), s.orders...)
}

func (s *OrderService) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := gate.ReadBody(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if strings.TrimSpace(string(body)) == "" {
		writeError(w, fault.New(fault.Malformed, fault.NotRun, "the request body is empty: want an order"))
		return
	}
	order := s.record(r.Header.Get("Idempotency-Key"), string(body))
	timer := time.NewTimer(s.options.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(order)
}

// record records an order, or returns the earlier one with the same key if the
// service deduplicates.
func (s *OrderService) record(key, text string) RecordedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous, ok := s.byKey[key]; ok && s.options.Dedupe && key != "" {
		return previous
	}
	order := RecordedOrder{Number: len(s.orders) + 1, Key: key, Text: text}
	s.orders = append(s.orders, order)
	s.byKey[key] = order
	return order
}

func (s *OrderService) serveList(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Orders()) }

func (s *OrderService) serveStock(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, struct {
		Item  string `json:"item"`
		Count int    `json:"count"`
	}{r.URL.Query().Get("item"), 120})
}

func (s *OrderService) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}
