package sidecar

import (
	"context"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/wire"
)

// failingService fails one call after the other with the given errors.
type failingService struct{ errs []error }

func (s *failingService) Healthy(context.Context) error { return nil }

func (s *failingService) Call(context.Context, message.ServiceCall) (order.Response, error) {
	err := s.errs[0]
	s.errs = s.errs[1:]
	return order.Response{}, err
}

// TestFailedRepetitionResolvesOrder has an order break off at the service, and its
// repetition find no connection. The first may have run, so the order must stay among
// those that the sidecar can't account for.
func TestFailedRepetitionResolvesOrder(t *testing.T) {
	runInTestbed(t, &transcript{}, func(b *testbed) {
		b.sidecar.settings.Service.Dedupe = true
		b.sidecar.service = &failingService{errs: []error{
			fault.New(fault.Broken, fault.MaybeRun, "connection reset"),
			fault.New(fault.Unavailable, fault.NotRun, "connection refused"),
		}}
		client := wire.NewClient(b.network.Transport("entry-1"))
		defer client.Close()
		for _, call := range []message.ServiceCall{
			{BeginIndex: 7, TimeLeft: time.Minute},
			{BeginIndex: 7, TimeLeft: time.Minute, MayHaveRun: true},
		} {
			if err := client.Call(b.t.Context(), "engine-1", message.MethodServiceCall, call, nil); err == nil {
				t.Error("got no error from a failing service")
			}
		}
		b.sidecar.mu.Lock()
		defer b.sidecar.mu.Unlock()
		if b.sidecar.sentOrders[7].resolved {
			t.Error("the order counts as resolved, want not")
		}
	})
}
