// Package routes holds the contract data by which whole requests are relayed:
// which requests there are, what may be repeated, their times and priority, and
// the services that run them.
//
// A Table is one version of all routes. Book is the replicated part, in which
// the highest version wins. View is what one process has in force.
package routes

import (
	"time"
)

// Kinds of requests.
const (
	Idempotent Kind = "idempotent" // may run more than once
	AtMostOnce Kind = "once"       // runs at most once
	Stream     Kind = "stream"     // answered by a series of events
)

type (
	// Kind says what may be done with a request.
	Kind string

	// Table is one version of all routes.
	Table struct {
		Version    uint64    `cbor:"1,keyasint"`
		Routes     []Route   `cbor:"2,keyasint"`
		Services   []Service `cbor:"3,keyasint"`
		Limits     Limits    `cbor:"4,keyasint"`
		SourceText []byte    `cbor:"5,keyasint,omitempty"` // as the operator wrote it
	}

	// Route tells how the requests below one prefix of a host are served.
	Route struct {
		Name             string        `cbor:"1,keyasint"`
		Host             string        `cbor:"2,keyasint"`
		Prefix           string        `cbor:"3,keyasint"` // begins and ends with a slash
		Kind             Kind          `cbor:"4,keyasint"`
		Resumable        bool          `cbor:"5,keyasint"` // a stream may go on at another backend server
		Timeout          time.Duration `cbor:"6,keyasint"` // the longest that a caller waits for the whole answer
		LatencyObjective time.Duration `cbor:"7,keyasint"` // latency objective; of a stream, to its first event
		MaxAttempts      int           `cbor:"8,keyasint"` // backend servers that may run one request
		Targets          []Target      `cbor:"9,keyasint"`
	}

	// Target is a service that takes a part of a route's requests.
	Target struct {
		Service string  `cbor:"1,keyasint"`
		Weight  float64 `cbor:"2,keyasint"`
	}

	// Service is a group of backend servers that can stand in for each other.
	Service struct {
		Name     string `cbor:"1,keyasint"`
		MaxConns int    `cbor:"2,keyasint"` // that one backend server accepts from all callers together; 0 for no bound
		Engine   Engine `cbor:"3,keyasint"` // of a service that generates
	}

	// Engine describes the memory of a service's model engines. 0 stands for
	// what isn't known.
	Engine struct {
		CacheTokens   int64   `cbor:"1,keyasint"` // tokens whose KV cache one engine holds
		BytesPerToken float64 `cbor:"2,keyasint"` // bytes of KV cache for one token
		TransferRate  float64 `cbor:"3,keyasint"` // bytes of KV cache that an engine moves in a second
	}

	// Limits bounds what a caller may send. 0 stands for no bound.
	Limits struct {
		MaxBodyBytes int64 `cbor:"1,keyasint"`
	}
)

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service that serves a request; draw lies in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * total
	for _, t := range r.Targets {
		at -= t.Weight
		if at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
