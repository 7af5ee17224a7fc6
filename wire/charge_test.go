package wire_test

import (
	"testing"

	"endivedeck.example/internal/callers/allowance"
	"endivedeck.example/pool"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

// heldAfter receives messages until none comes and then reports what is charged.
type heldAfter struct {
	budget *allowance.Budget
	held   chan int64
}

// Handle implements wire.Handler.
func (h *heldAfter) Handle(call *wire.ServerCall) {
	for {
		var message []byte
		if err := call.Receive(&message); err != nil {
			h.held <- h.budget.Held()
			call.End()
			return
		}
	}
}

// TestReceivedMessagesAreReleased sends messages of more than the budget altogether over
// one call. They must all arrive, and only the request may stay charged.
func TestReceivedMessagesAreReleased(t *testing.T) {
	network := memory.NewNetwork()
	listener, err := network.Transport("control-1").Listen("control-1")
	if err != nil {
		t.Fatal(err)
	}
	workers := pool.New(2, 2)
	defer func() { _ = workers.Stop(t.Context()) }()
	h := &heldAfter{budget: allowance.New(allowance.ForPeers(4<<20), nil), held: make(chan int64, 1)}
	server := wire.NewServerWithin(h.budget, listener, workers, map[string]wire.Handler{"loads": h})
	defer server.Close()
	client := wire.NewClient(network.Transport("entry-1"))
	defer client.Close()
	call, err := client.OpenCall(t.Context(), "control-1", "loads", "hello")
	if err != nil {
		t.Fatal(err)
	}
	for range 40 {
		if err := call.Send(make([]byte, 100<<10)); err != nil {
			t.Fatal(err)
		}
	}
	call.Cancel()
	if got, limit := <-h.held, int64(100); got > limit {
		t.Errorf("got %d bytes charged after all messages, want at most %d for the request", got, limit)
	}
	if got := h.budget.Held(); got > 100 {
		t.Errorf("got %d bytes held, want none", got)
	}
}
