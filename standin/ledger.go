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
	// LedgerOptions describes an order service stand-in.
	LedgerOptions struct {
		Address string
		Delay   time.Duration // before an order is answered
		Dedupe  bool          // answer a repeated Idempotency-Key from memory
	}

	// Ledger is an order service stand-in: POST /orders records an order,
	// GET /orders lists them, GET /stock tells a stock. Create it with
	// NewLedger.
	Ledger struct {
		options LedgerOptions
		gate    *gate.Server

		mu     rank.Mutex
		orders []LedgerOrder
		byKey  map[string]LedgerOrder
	}

	// LedgerOrder is a recorded order.
	LedgerOrder struct {
		Number int    `json:"number"`
		Key    string `json:"key"`
		Text   string `json:"text"`
	}
)

// NewLedger starts an order service stand-in.
func NewLedger(options LedgerOptions) (*Ledger, error) {
	l := &Ledger{options: options, mu: rank.New(rank.Standin), byKey: map[string]LedgerOrder{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", l.serveOrder)
	mux.HandleFunc("GET /orders", l.serveList)
	mux.HandleFunc("GET /stock", l.serveStock)
	mux.HandleFunc("GET /healthz", l.serveHealth)
	g, err := gate.New(options.Address, mux, gate.DefaultLimits(), nil)
	if err != nil {
		return nil, err
	}
	l.gate = g
	return l, nil
}

// Address returns the address that the ledger listens on.
func (l *Ledger) Address() string { return l.gate.Address() }

// Stop ends the ledger at once, as a crash does.
func (l *Ledger) Stop() { l.gate.Close() }

// Orders returns the recorded orders.
func (l *Ledger) Orders() []LedgerOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LedgerOrder(nil), l.orders...)
}

func (l *Ledger) serveOrder(w http.ResponseWriter, r *http.Request) {
	text, err := gate.ReadBody(r)
	if err != nil {
		refuse(w, err)
		return
	}
	if strings.TrimSpace(string(text)) == "" {
		refuse(w, fault.New(fault.Malformed, fault.No, "the order is empty"))
		return
	}
	order := l.record(r.Header.Get("Idempotency-Key"), string(text))
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

func (l *Ledger) record(key, text string) LedgerOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	if earlier, ok := l.byKey[key]; ok && l.options.Dedupe && key != "" {
		return earlier
	}
	order := LedgerOrder{Number: len(l.orders) + 1, Key: key, Text: text}
	l.orders = append(l.orders, order)
	l.byKey[key] = order
	return order
}

func (l *Ledger) serveList(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Orders()) }

func (l *Ledger) serveStock(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, struct {
		Item  string `json:"item"`
		Count int    `json:"count"`
	}{r.URL.Query().Get("item"), 120})
}

func (l *Ledger) serveHealth(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }
