package wire_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/pool"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

// TestCallTimeoutUnreadRequest calls a server that accepts the connection but
// reads nothing, so that sending the request blocks. The call must end at its
// deadline, and its error must have Ran MaybeRun.
func TestCallTimeoutUnreadRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memory.NewNetwork()
		listener, err := network.Transport("control-1").Listen("control-1")
		if err != nil {
			t.Fatal(err)
		}
		client := wire.NewClient(network.Transport("entry-1"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		err = client.Call(ctx, "control-1", "renew", "hello", nil)
		if got, want := time.Since(start), time.Second; got != want {
			t.Errorf("call ended after %v, want %v", got, want)
		}
		if got, want := fault.FromError(err).Ran, fault.MaybeRun; got != want {
			t.Errorf("got ran %v, want %v", got, want)
		}
		_ = listener.Close()
		client.Close()
	})
}

// TestCallRan checks what a failed call says about whether its request has run. A
// reply that can't be decoded comes after the request ran, and a request over the
// limit is never sent.
func TestCallRan(t *testing.T) {
	network := memory.NewNetwork()
	listener, err := network.Transport("control-1").Listen("control-1")
	if err != nil {
		t.Fatal(err)
	}
	workers := pool.New(2, 2)
	defer func() { _ = workers.Stop(t.Context()) }()
	server := wire.NewServer(listener, workers, map[string]wire.Handler{"renew": wire.HandlerFunc(replyText)})
	defer server.Close()
	client := wire.NewClient(network.Transport("entry-1"))
	defer client.Close()
	for _, c := range []struct {
		name    string
		request any
		out     any
		want    string
	}{
		{"reply of another type", "hello", new(int), "broken, ran yes"},
		{"request over the limit", make([]byte, wire.MaxFrameBytes+1), new(string), "too_large, ran no"},
		{"no handler", "hello", new(string), "not_found, ran no"},
	} {
		method := "renew"
		if c.name == "no handler" {
			method = "other"
		}
		err := client.Call(t.Context(), "control-1", method, c.request, c.out)
		if got := fmt.Sprintf("%s, ran %s", fault.KindOf(err), fault.FromError(err).Ran); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

func replyText(call *wire.ServerCall) { call.Reply("done") }
