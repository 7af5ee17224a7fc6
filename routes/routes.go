// Package routes holds the routing table of relays: which requests exist,
// whether they may be retried, their time limits, and the services that run
// them.
//
// A Table is one version of all routes. Store is the replicated state, which
// keeps the highest version. View is the table in force in one process.
package routes

import (
	"time"

	"endivedeck.example/internal/duties/replicas"
)

// Kinds of requests.
const (
	Idempotent Kind = "idempotent" // may run more than once
	AtMostOnce Kind = "once"       // must run at most once
	Stream     Kind = "stream"     // answered with a stream of events
)

type (
	// Kind tells how requests of a route may be executed.
	Kind string

	// Table is one version of all routes.
	Table struct {
		Version    uint64    `cbor:"1,keyasint"`
		Routes     []Route   `cbor:"2,keyasint"`
		Services   []Service `cbor:"3,keyasint"`
		Limits     Limits    `cbor:"4,keyasint"`
		SourceText []byte    `cbor:"5,keyasint,omitempty"` // as uploaded by the operator

		KeysRequired bool   `cbor:"6,keyasint,omitempty"` // requests need the key of one of Teams, except on public routes
		Teams        []Team `cbor:"7,keyasint,omitempty"`
	}

	// Route describes how to serve the requests to a host whose paths begin
	// with Prefix.
	Route struct {
		Name             string        `cbor:"1,keyasint"`
		Host             string        `cbor:"2,keyasint"` // as written by the operator; see matchKey
		Prefix           string        `cbor:"3,keyasint"` // begins and ends with a slash
		Kind             Kind          `cbor:"4,keyasint"`
		Resumable        bool          `cbor:"5,keyasint"` // a stream may be resumed at another backend server
		Timeout          time.Duration `cbor:"6,keyasint"` // limit for the complete response
		LatencyObjective time.Duration `cbor:"7,keyasint"` // for the complete response; for a stream, for its first event
		MaxAttempts      int           `cbor:"8,keyasint"` // limit of backend servers that may run one request
		Targets          []Target      `cbor:"9,keyasint"`
		Priority         int           `cbor:"10,keyasint"`           // rank among the routes; 0 is the highest
		PauseObjective   time.Duration `cbor:"12,keyasint,omitempty"` // longest pause between two events of a stream; 0 if any is allowed
		Public           bool          `cbor:"11,keyasint,omitempty"` // requests need no key
	}

	// Target is a service that receives a share of a route's requests.
	Target struct {
		Service string  `cbor:"1,keyasint"`
		Weight  float64 `cbor:"2,keyasint"` // share, relative to the other targets of the route
	}

	// Service is a group of interchangeable backend servers.
	Service struct {
		Name     string `cbor:"1,keyasint"`
		MaxConns int    `cbor:"2,keyasint"` // limit per backend server over all clients; 0 for no limit
		Engine   Engine `cbor:"3,keyasint"` // for a service of model engines

		Scaling *replicas.Bounds `cbor:"4,keyasint,omitempty" json:",omitempty"` // of the number of servers; nil if it isn't the system's to choose
	}

	// Engine describes the KV cache of a service's model engines. In each
	// field, 0 stands for an unknown value.
	Engine struct {
		CacheTokens   int64   `cbor:"1,keyasint"` // KV cache capacity of one engine, in tokens
		BytesPerToken float64 `cbor:"2,keyasint"` // size of the KV cache of one token
		TransferRate  float64 `cbor:"3,keyasint"` // KV cache transfer rate of one engine, in bytes per second
	}

	// Limits are the limits of requests. 0 stands for no limit.
	Limits struct {
		MaxBodyBytes  int64         `cbor:"1,keyasint"`           // size of a request body
		MaxHeadBytes  int64         `cbor:"2,keyasint,omitempty"` // size of the head of a request
		HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"` // from the first byte of a head to its end
		IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"` // from a response to the next request on its connection
	}
)

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService selects a service by weight. draw is a random number in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * total
	for _, t := range r.Targets {
		remaining -= t.Weight
		if remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
