// Package engine speaks to model engines.
//
// An Engine is one engine's interface as a sidecar uses it; a Dialect makes
// it from an address, and is a plug-in of the slot Dialects. The dialect
// "lines" is the protocol in docs/ENGINE.md.
package engine

import (
	"context"

	"endivedeck.example/kernel"
	"endivedeck.example/message"
)

// Dialects is the slot of engine dialects.
var Dialects = kernel.NewSlot[Dialect]("engine dialect")

type (
	// Engine is a model engine.
	Engine interface {
		// Generate asks for an answer and hands each piece to give, in order,
		// until the answer has ended. When it returns an error with Ran No,
		// the engine hasn't begun. It ends early when give fails.
		Generate(ctx context.Context, work message.Work, give func(message.Piece) error) error

		// Cancel has the engine give an answer up.
		Cancel(ctx context.Context, id string) error

		// State reports what the engine holds and how busy it is.
		State(ctx context.Context) (State, error)

		// Order hands the engine an order. An error with Ran No means that
		// the engine didn't take it; fault.Stale that it knows a newer one.
		Order(ctx context.Context, order Order) error
	}

	// Caching is implemented by engines that publish cache events.
	Caching interface {
		// Events returns the events after the given sequence number.
		Events(ctx context.Context, after uint64) ([]Event, error)
	}

	// Moving is implemented by engines that export and import KV cache.
	Moving interface {
		// Export returns the KV cache of the longest cached prefix of a prompt.
		Export(ctx context.Context, model, prompt string) ([]byte, error)

		// Import adds exported KV cache.
		Import(ctx context.Context, blob []byte) error
	}

	// Dialect makes an Engine for the engine at an address.
	Dialect func(address string) Engine

	// State is an engine's report.
	State struct {
		Load        message.Load
		Models      []string
		Role        string
		Changing    bool   // an order is being carried out
		Number      uint64 // of the newest order that it took
		Done        uint64 // of the newest order that it carried out
		PieceTokens int
	}

	// Order tells an engine to load a model or to take another role.
	Order struct {
		Number uint64 // the fencing number
		Kind   string // load or role
		Model  string
		Role   string
	}

	// Event tells that a piece is in the prefix cache, or no more.
	Event struct {
		Seq     uint64
		Hash    uint64
		Evicted bool
	}
)
