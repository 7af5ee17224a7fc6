package entry

import (
	"context"
	"testing"
	"time"

	"endivedeck.example/fault"
)

// TestDisconnectIsCalledDeadline has a caller disconnect before its query is tried. The
// outcome must not be a missed deadline.
func TestDisconnectIsCalledDeadline(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		caller, err := env.entry.executor.Authenticate("key of the crews")
		if err != nil {
			t.Error(err)
			return
		}
		for _, c := range []struct {
			name string
			end  func(context.Context) (context.Context, context.CancelFunc)
			want fault.Kind
		}{
			{"disconnected", context.WithCancel, fault.Canceled},
			{"deadline", expired, fault.DeadlineExceeded},
		} {
			ctx, cancel := c.end(env.t.Context())
			cancel()
			q := Query{ID: randomID(), Caller: caller, Class: "chat", Model: testModel, Prompt: "which bank", MaxTokens: answerChunks}
			_, err := env.entry.executor.Query(ctx, q, &answerCollector{})
			if got := fault.KindOf(err); got != c.want {
				t.Errorf("%s: got error kind %q, want %q", c.name, got, c.want)
			}
			if got, want := fault.FromError(err).Ran, fault.NotRun; got != want {
				t.Errorf("%s: got ran %s, want %s", c.name, got, want)
			}
		}
	})
}

// expired returns a context whose deadline has passed.
func expired(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, time.Now().Add(-time.Second))
}
