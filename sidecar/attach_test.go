package sidecar

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"endivedeck.example/message"
)

// requester sends the same request as others at the same time.
type requester struct {
	table   *streamTable
	request message.GenerateRequest
	start   <-chan struct{}
	done    *sync.WaitGroup
}

func (r *requester) run() {
	defer r.done.Done()
	<-r.start
	_, _, _ = r.table.attachOrStart(r.request)
}

// TestConcurrentRequestsStartTwoStreams has copies of a request arrive at the same
// time, as when an entry sends it again over a new connection. The engine must get it
// once.
func TestConcurrentRequestsStartTwoStreams(t *testing.T) {
	const rounds, copies = 100, 8
	runInTestbed(t, &transcript{}, func(b *testbed) {
		for round := range rounds {
			start := make(chan struct{})
			var done sync.WaitGroup
			request := message.GenerateRequest{ID: fmt.Sprintf("round-%d", round), MaxTokens: answerTokens, TimeLeft: time.Minute}
			for range copies {
				done.Add(1)
				r := &requester{table: b.sidecar.streams, request: request, start: start, done: &done}
				go r.run()
			}
			close(start)
			done.Wait()
			b.sidecar.mu.Lock()
			got := b.sidecar.inFlight
			b.sidecar.mu.Unlock()
			if want := 1; got != want {
				t.Errorf("round %d: got %d requests at the engine, want %d", round, got, want)
				return
			}
			b.wait(2 * answerTokens * tokenInterval)
		}
	})
}
