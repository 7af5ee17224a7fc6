// Package engine contains the clients for model engines.
//
// An Engine is the sidecar's interface to one engine. A Dialect creates it for
// an address; dialects are plug-ins registered in Dialects. The dialect
// "lines" implements the protocol described in docs/ENGINE.md.
package engine

import (
	"context"

	"endivedeck.example/kernel"
	"endivedeck.example/message"
)

// Dialects is the registry of engine dialects.
var Dialects = kernel.NewRegistry[Dialect]("engine dialect")

type (
	// Engine is a model engine.
	Engine interface {
		// Generate runs a request and calls yield with each chunk of the
		// answer, in order, until the answer is complete. An error with Ran
		// NotRun means that the engine has not started, one with EngineEnded
		// that it broke the connection before the end of the answer. If yield
		// returns an error, Generate stops and returns that error.
		Generate(ctx context.Context, request message.GenerateRequest, yield func(message.Chunk) error) error

		// Cancel aborts the generation of an answer.
		Cancel(ctx context.Context, id string) error

		// State returns the engine's load, models, role and progress with
		// orders.
		State(ctx context.Context) (State, error)

		// Order sends an order to the engine, which executes it after Order
		// has returned. An error with Ran NotRun means that the engine did
		// not accept the order; fault.Stale, that it has already accepted
		// one with the same or a higher fencing token.
		Order(ctx context.Context, order Order) error
	}

	// CacheEventSource is implemented by engines that publish events of their
	// prefix cache.
	CacheEventSource interface {
		// Events returns the events after the given sequence number.
		Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	}

	// CacheTransfer is implemented by engines that export and import KV cache.
	CacheTransfer interface {
		// Export returns the KV cache of the longest cached prefix of a prompt.
		Export(ctx context.Context, model, prompt string) ([]byte, error)

		// Import adds exported KV cache.
		Import(ctx context.Context, blob []byte) error
	}

	// Dialect returns an Engine for the engine at an address.
	Dialect func(address string) Engine

	// State is what an engine reports about itself.
	State struct {
		Load          message.Load
		Models        []string
		Role          string
		Changing      bool   // an order is being executed
		AcceptedToken uint64 // fencing token of the newest accepted order
		DoneToken     uint64 // fencing token of the newest completed order
		BlockTokens   int    // tokens per block of the prefix cache
	}

	// Order tells an engine to load a model or to switch to another role.
	Order struct {
		FencingToken uint64 // higher than that of every earlier order
		Kind         string // load or role
		Model        string
		Role         string
	}

	// CacheEvent is an insertion into the prefix cache or an eviction from it.
	CacheEvent struct {
		Seq       uint64
		BlockHash uint64
		Evicted   bool
	}
)
