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
	// stock count. Create it with NewLedger.
	OrderService struct {
		options OrderServiceOptions
		server  *gate.Server

		mu     rank.Mutex
		orders []RecordedOrder
		byKey  map[string]RecordedOrder
	}

	// RecordedOrder is a recorded order.
	RecordedOrder struct {
		Number int    `json:"number"`
		Key    string `json:"key"`
		Text   string `json:"text"`
	}
)

// NewOrderService starts a simulated order service.
func NewOrderService(options OrderServiceOptions) (*OrderService, error) {
	l := &OrderService{options: options, mu: rank.New(rank.Standin), byKey: map[string]RecordedOrder{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", l.serveOrder)
	mux.HandleFunc("GET /orders", l.serveList)
	mux.HandleFunc("GET /stock", l.serveStock)
	mux.HandleFunc("GET /healthz", l.serveHealth)
	server, err := gate.New(options.Address, mux, gate.DefaultLimits(), nil)
	if err != nil {
		return nil, err
	}
	l.server = server
	return l, nil
}

// Address returns the address on which the service listens.
func (l *OrderService) Address() string { return l.server.Address() }

// Stop ends the service at once and breaks its connections, as a crash does.
func (l *OrderService) Stop() { l.server.Close() }

// Orders returns the recorded orders.
func (l *OrderService) Orders() []RecordedOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]RecordedOrder(nil), l.orders...)
}

func (l *OrderService) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := gate.ReadBody(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if strings.TrimSpace(string(body)) == "" {
		writeError(w, fault.New(fault.Malformed, fault.NotRun, "the request body is empty: want an order"))
		return
	}
	order := l.record(r.Header.Get("Idempotency-Key"), string(body))
	timer := time.NewTimer(l.options.Delay)
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
func (l *OrderService) record(key, text string) RecordedOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	if previous, ok := l.byKey[key]; ok && l.options.Dedupe && key != "" {
		return previous
	}
	order := RecordedOrder{Number: len(l.orders) + 1, Key: key, Text: text}
	l.orders = append(l.orders, order)
	l.byKey[key] = order
	return order
}

func (l *OrderService) serveList(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Orders()) }

func (l *OrderService) serveStock(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, struct {
		Item  string `json:"item"`
		Count int    `json:"count"`
	}{r.URL.Query().Get("item"), 120})
}

func (l *OrderService) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}
