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
	// EngineOrder tells an engine to load a model or to take another role.
	EngineOrder struct {
		Number uint64 `json:"number"` // the fencing number
		Kind   string `json:"kind"`   // load or role
		Model  string `json:"model,omitempty"`
		Role   string `json:"role,omitempty"`
	}

	// TakenOrder is an order as an engine took it, for tests.
	TakenOrder struct {
		Order   EngineOrder
		Overlap bool // another order was still being carried out
	}

	// orders is the part of an engine that carries out orders.
	orders struct {
		models   []string
		role     string
		changing int
		newest   uint64
		lastDone uint64
		taken    []TakenOrder
	}
)

func newOrders(models []string) orders {
	return orders{models: slices.Clone(models), role: "both"}
}

// accepts reports why a request for the model can't be served.
func (o *orders) accepts(model string) error {
	if o.changing > 0 {
		return fault.New(fault.Unavailable, fault.No, "the engine is changing")
	}
	if !slices.Contains(o.models, model) {
		return fault.New(fault.NotFound, fault.No, "the engine doesn't hold model %q", model)
	}
	return nil
}

func (o *orders) fill(load *Load) {
	load.Role = o.role
	load.Models = slices.Clone(o.models)
	load.Number = o.newest
	load.LastDone = o.lastDone
	load.State = stateServing
	if o.changing > 0 {
		load.State = stateChanging
	}
}

// order takes an order. An engine without fencing takes any number, also
// while another order is being carried out.
func (e *Engine) order(ask EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.orders
	if e.options.Fencing && ask.Number <= o.newest {
		return fault.New(fault.Stale, fault.No, "order %d is older than order %d", ask.Number, o.newest)
	}
	if e.options.Fencing && o.changing > 0 {
		return fault.New(fault.Conflict, fault.No, "an order is being carried out")
	}
	o.taken = append(o.taken, TakenOrder{Order: ask, Overlap: o.changing > 0})
	o.newest = ask.Number
	o.changing++
	time.AfterFunc(e.changeTime(ask), func() { e.done(ask) })
	return nil
}

// changeTime returns how long an order takes: a model comes at the weight
// store's rate.
func (e *Engine) changeTime(ask EngineOrder) time.Duration {
	if ask.Kind == "load" && e.options.Weights > 0 && e.options.Store > 0 {
		return time.Duration(e.options.Weights / e.options.Store * float64(time.Second))
	}
	return e.options.LoadTime
}

func (e *Engine) done(ask EngineOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.orders
	o.changing--
	o.lastDone = ask.Number
	switch ask.Kind {
	case "role":
		o.role = ask.Role
		e.batch.Role = ask.Role
	case "load":
		o.models = []string{ask.Model}
	}
}

// Taken returns the orders that the engine has taken, for tests.
func (e *Engine) Taken() []TakenOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.taken)
}
