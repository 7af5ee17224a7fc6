package engine_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"endivedeck.example/engine"
	"endivedeck.example/fault"
	"endivedeck.example/message"
)

// TestInvalidStatus has an engine respond with statuses of no successful response and with
// the body of one. Neither a request nor an order may count as done then, and nothing in
// the body may count as a refusal.
func TestInvalidStatus(t *testing.T) {
	const (
		answer  = `{"id":"one","offset":0,"tokens":1,"text":"a ","end":true,"reason":"stop"}` + "\n"
		refusal = `{"kind":"overloaded","ran":"no","text":"full"}`
	)
	generate := func(ctx context.Context, e engine.Engine) error {
		return e.Generate(ctx, message.GenerateRequest{ID: "one", MaxTokens: 8}, func(message.Chunk) error { return nil })
	}
	order := func(ctx context.Context, e engine.Engine) error { return e.Order(ctx, engine.Order{FencingToken: 1}) }
	state := func(ctx context.Context, e engine.Engine) error { _, err := e.State(ctx); return err }
	for _, c := range []struct {
		name, body string
		call       func(context.Context, engine.Engine) error
	}{
		{"answer", answer, generate},
		{"order", "", order},
		{"load report", `{"slots":4,"state":"serving"}`, state},
		{"refusal", refusal, generate},
	} {
		for _, status := range []int{0, 99, 101, 600, 999} {
			s := newScriptedEngine(t, fmt.Sprintf("HTTP/1.1 %03d Oops\r\nContent-Length: %d\r\n\r\n%s<end>", status, len(c.body), c.body))
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			err := c.call(ctx, engine.NewLinesClient(s.listener.Addr().String()))
			cancel()
			if got, want := fault.KindOf(err), fault.Broken; got != want {
				t.Errorf("%s, status %03d: got error %v, want kind %q", c.name, status, err, want)
			} else if got, want := fault.FromError(err).Ran, fault.MaybeRun; got != want {
				t.Errorf("%s, status %03d: got ran %s, want %s", c.name, status, got, want)
			}
		}
	}
}
