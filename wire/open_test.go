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

// TestOpenInTime calls a process that accepts the connection and reads
// nothing: the call ends when its time is over, and says that it may have
// reached the process.
func TestOpenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memory.New()
		listener, err := network.Transport("control-1").Listen("control-1")
		if err != nil {
			t.Fatal(err)
		}
		client := wire.NewClient(network.Transport("entry-1"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun := time.Now()
		err = client.Ask(ctx, "control-1", "renew", "hello", nil)
		if got, want := time.Since(begun), time.Second; got != want {
			t.Errorf("got an answer after %v, want %v", got, want)
		}
		if got, want := fault.From(err).Ran, fault.Unknown; got != want {
			t.Errorf("got ran %v, want %v", got, want)
		}
		_ = listener.Close()
		client.Close()
	})
}
