// Package placement selects the backend servers that process a request.
//
// It uses the servers of the roster, the load that all relays put on each, and
// the outcomes of this relay's earlier requests. A long prompt goes where its
// response is expected to begin first, depending on the queue of each server and
// on how much of the prompt the server has in its KV cache or can fetch from
// the cache of another server. The contents of each cache are estimated from
// the prompts that all relays have sent to the server. Chats are packed onto few
// engines, and a request without a prompt goes to the server with the lowest
// expected latency.
//
// The package performs no I/O, and callers pass in the current time.
package placement

import (
	"time"

	"endivedeck.example/roster"
)

type (
	// Part is a segment of a prompt that several requests may share.
	Part struct {
		ID     uint64 // hash of its name
		Tokens int
	}

	// Request describes a request to place.
	Request struct {
		Service      string
		Domain       string          // failure domain of the relay
		Prompt       []Part          // in order; empty for a request without a prompt
		PromptTokens int             // of the whole prompt
		MaxTokens    int             // limit of the response's tokens; 0 if unknown
		Class        string          // class of similar requests, whose averages this one is compared with
		Team         string          // of the caller; empty for none
		Rank         int             // of the request, by its team and route; 0 is the highest
		Excluded     map[string]bool // IDs of servers not to use
		Resumed      bool            // the response goes on after events that the caller has
		SingleEngine bool            // use one engine for both prefill and decoding

		PauseObjective time.Duration // longest pause between two events of the response; 0 if any is allowed
		ObjectiveLeft  time.Duration // time left of the latency objective; 0 or less if it's already missed
		TimeLeft       time.Duration // time until the caller needs the complete response
		SendCost       time.Duration // cost of sending the request once more than needed
		MustPlace      bool          // place the request however long it would wait

		preview *Preview // records the terms of the decision; nil to place the request
	}

	// Choice tells where a request goes. Prefiller, if set, prefills the prompt,
	// and Runner then fetches its KV cache and decodes; otherwise Runner does both.
	Choice struct {
		Prefiller    *Ticket
		Runner       *Ticket
		PrefixSource string        // address of a server to fetch the KV cache of shared prefixes from; empty for none
		Late         bool          // the request yields to those that can still meet their objectives
		QueueTime    time.Duration // expected time until processing begins
		FirstByte    time.Duration // expected time to the first byte of the response
		Slack        time.Duration // time that the request can wait in queues without missing its latency objective
		Room         time.Duration // of a prompt that is refused: until the queue has room for it if nothing else arrives
		Spacing      time.Duration // the same: from then on, in which the queue has room for one more
	}

	// Outcome tells how a request ended at the server of a ticket.
	Outcome struct {
		Result    Result
		FirstByte time.Duration // time from sending to the first byte of the response; 0 if none was received
		Step      time.Duration // mean time between the events of a stream; 0 if unknown
	}

	// Result tells how a backend server handled a request.
	Result int

	// Load is the load that one relay puts on a server: its requests that
	// haven't ended yet.
	Load struct {
		Server  string        `cbor:"1,keyasint"`           // ID
		Pending time.Duration `cbor:"2,keyasint"`           // expected prefill time still to be done, without Late
		Active  int           `cbor:"3,keyasint"`           // number of requests
		Chats   int           `cbor:"4,keyasint"`           // number of these that are chats
		Recent  time.Duration `cbor:"8,keyasint,omitempty"` // prefill time placed in about the last 200 ms, on an engine that decodes
		Late    time.Duration `cbor:"5,keyasint"`           // expected prefill time still to be done for late requests, which yield to the others

		Answering  SpeedSample `cbor:"6,keyasint,omitzero"` // time until responses to prompts begin
		Generating SpeedSample `cbor:"7,keyasint,omitzero"` // time between the events of chats
	}

	// Ticket is a request's assignment to one server. End must be called once.
	Ticket struct {
		Server roster.Server

		table *Table
		prefillJob
		chat       bool
		ended      bool
		assignedAt time.Time
		objective  time.Duration // time left of the latency objective then
		firstByte  time.Duration // 0 until the response has begun
	}

	// prefillJob is the expected work and cache use of a request at a server.
	prefillJob struct {
		prefillTime    time.Duration // expected
		nominalPrefill time.Duration // at the nominal rates; 0 if the KV cache is fetched from another engine
		queueTime      time.Duration // expected, before the prefill
		usualTime      time.Duration // expected until the response begins, on a server that is as fast as usual; 0 if unknown
		expected       time.Duration // time to the first byte; 0 if unknown
		handoff        bool          // the server fetches the KV cache from the one that ran the prefill
		transferTime   time.Duration // of the KV cache in a handoff, nominal
		handoffTime    time.Duration // expected time until the response begins in a handoff
		late           bool          // yields to requests that can still meet their objectives
		prefixes       []uint64      // hashes of the prefixes that are cached once the response begins
		newTokens      int           // tokens that are inserted into the cache by then; 0 if they are already recorded
	}
)

// Results.
const (
	Succeeded  Result = iota // responded
	Failed                   // responded with an error
	Refused                  // refused to run the request
	NoResponse               // no response, or an incomplete one
	Canceled                 // canceled by the caller; says nothing about the server
)

// Cancel releases the tickets of a choice that isn't used.
func (c Choice) Cancel(now time.Time) {
	if c.Prefiller != nil {
		c.Prefiller.End(now, Outcome{Result: Canceled})
	}
	c.Runner.End(now, Outcome{Result: Canceled})
}
