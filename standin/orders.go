package standin

import (
	"slices"
	"time"

	"endivedeck.example/fault"
)

const (
	stateServing  = "serving"
	stateChanging = "changing"
)

type (
	// EngineOrder tells an engine to load a model or to change its role.
	EngineOrder struct {
		FencingToken uint64 `json:"number"`
		Kind         string `json:"kind"` // load or role
		Model        string `json:"model,omitempty"`
		Role         string `json:"role,omitempty"`
	}

	// AcceptedOrder is an order that an engine accepted, for tests.
	AcceptedOrder struct {
		Order   EngineOrder
		Overlap bool // accepted while another order was in progress
	}

	// orders tracks an engine's orders and the state that they change.
	orders struct {
		models        []string
		role          string
		inProgress    int    // accepted orders that aren't complete
		acceptedToken uint64 // fencing token of the newest accepted order
		doneToken     uint64 // fencing token of the order completed last
		accepted      []AcceptedOrder
	}
)

func newOrders(models []string) orders {
	return orders{models: slices.Clone(models), role: "both"}
}

// checkAvailable returns an error if the engine can't serve a request for the
// model.
func (o *orders) checkAvailable(model string) error {
	if o.inProgress > 0 {
		return fault.New(fault.Unavailable, fault.NotRun, "the engine is loading a model or changing its role; orders in progress: %d", o.inProgress)
	}
	if !slices.Contains(o.models, model) {
		return fault.New(fault.NotFound, fault.NotRun, "model %q isn't loaded; loaded: %q", model, o.models)
	}
	return nil
}

func (o *orders) fillReport(report *LoadReport) {
	report.Role = o.role
	report.Models = slices.Clone(o.models)
	report.AcceptedToken = o.acceptedToken
	report.DoneToken = o.doneToken
	report.State = stateServing
	if o.inProgress > 0 {
		report.State = stateChanging
	}
}

// acceptOrder starts to execute an order. An engine without fencing accepts any
// fencing token, even while another order is in progress.
func (e *Engine) acceptOrder(order EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.orders
	if e.options.Fencing && order.FencingToken <= o.acceptedToken {
		return fault.New(fault.Stale, fault.NotRun, "fencing token %d isn't above the newest accepted one, %d", order.FencingToken, o.acceptedToken)
	}
	if e.options.Fencing && o.inProgress > 0 {
		return fault.New(fault.Conflict, fault.NotRun, "the order with fencing token %d is still in progress", o.acceptedToken)
	}
	o.accepted = append(o.accepted, AcceptedOrder{Order: order, Overlap: o.inProgress > 0})
	o.acceptedToken = order.FencingToken
	o.inProgress++
	time.AfterFunc(e.changeTime(order), func() { e.completeOrder(order) })
	return nil
}

// changeTime returns how long an order takes. A model load is limited by the
// read rate of the weight store, if that and the size of the weights are set.
func (e *Engine) changeTime(order EngineOrder) time.Duration {
	if order.Kind == "load" && e.options.WeightBytes > 0 && e.options.WeightBytesPerSecond > 0 {
		return time.Duration(e.options.WeightBytes / e.options.WeightBytesPerSecond * float64(time.Second))
	}
	return e.options.ChangeTime
}

func (e *Engine) completeOrder(order EngineOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.orders
	o.inProgress--
	o.doneToken = order.FencingToken
	switch order.Kind {
	case "role":
		o.role = order.Role
		e.batch.Role = order.Role
	case "load":
		o.models = []string{order.Model}
	}
}

// AcceptedOrders returns the orders that the engine has accepted, for tests.
func (e *Engine) AcceptedOrders() []AcceptedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.accepted)
}
