// Package placement decides which backend server gets a request.
//
// It knows the servers of the roster, what this relay has given to each, and
// what came of it. A request goes where its answer is expected to begin first:
// behind the work that is known to be there, with the prompt's parts that are
// likely to be held in the server's memory already, or in that of a server from
// which they can be moved. What each server holds is reckoned from the prompts
// that all relays gave to it.
//
// The package does no input or output, and is told the time.
package placement

import (
	"time"

	"endivedeck.example/roster"
)

type (
	// Part is a part of a prompt that several requests may share.
	Part struct {
		ID     uint64 // hash of its name
		Tokens int
	}

	// Ask describes a request to be placed.
	Ask struct {
		Service string
		Domain  string          // failure domain of the relay
		Prompt  []Part          // in order; empty for a request without a prompt
		Tokens  int             // of the whole prompt
		Answer  int             // tokens of the answer at most; 0 if that isn't known
		Class   string          // requests that are alike, by whose mean this one is weighed
		Tried   map[string]bool // servers that are left out, by ID
		Direct  bool            // the prompt is read where the answer is generated

		Target time.Duration // left of the latency objective; 0 or less if it's missed already
		Left   time.Duration // until the caller needs the whole answer
		Firm   bool          // it is placed however long it would wait
	}

	// Choice is where a request goes. Reader is the server that reads the
	// prompt first and hands its KV cache over; without one, Runner does all.
	Choice struct {
		Reader *Ticket
		Runner *Ticket
		Source string        // address of a server whose memory has shared parts of the prompt; empty for none
		Late   bool          // it goes behind requests whose answers can still be in time
		Queue  time.Duration // before the request is begun
		Expect time.Duration // to the first byte of the answer
	}

	// Outcome tells what came of a ticket.
	Outcome struct {
		Result Result
		First  time.Duration // from sending to the first byte of the answer, if one came
	}

	// Result says how a backend server did.
	Result int

	// Load is what one relay has given to a server and isn't answered yet.
	Load struct {
		Server  string        `cbor:"1,keyasint"` // ID
		Pending time.Duration `cbor:"2,keyasint"` // of reading prompts, as expected
		Active  int           `cbor:"3,keyasint"`
		Chats   int           `cbor:"4,keyasint"` // of these, with short prompts and long answers
		Late    time.Duration `cbor:"5,keyasint"` // of reading prompts that go behind the others
	}

	// Ticket is a request's place at one server. End must be called once.
	Ticket struct {
		Server roster.Server

		table *Table
		prefillJob
		chat  bool
		ended bool
	}

	// prefillJob is a prompt's place among those that wait at a server.
	prefillJob struct {
		prefillTime time.Duration // as expected
		queueTime   time.Duration // before it, as expected
		late        bool          // it goes behind what can still be in time
		prefixes    []uint64      // prefixes that the server holds once the answer begins
		newTokens   int           // tokens that its memory takes in by then
	}
)

// Results.
const (
	Good     Result = iota // it answered
	Failed                 // it answered that it failed
	Busy                   // it said that the request didn't run
	Lost                   // no answer, or a broken one
	Withdrew               // the caller left, which says nothing of the server
)

// Withdraw gives a choice back that isn't followed.
func (c Choice) Withdraw(now time.Time) {
	if c.Reader != nil {
		c.Reader.End(now, Outcome{Result: Withdrew})
	}
	c.Runner.End(now, Outcome{Result: Withdrew})
}
