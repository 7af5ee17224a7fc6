package wire_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"endivedeck.example/fault"
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
