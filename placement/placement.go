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

	// Request describes a request to be placed.
	Request struct {
		Service      string
		Domain       string          // failure domain of the relay
		Prompt       []Part          // in order; empty for a request without a prompt
		PromptTokens int             // of the whole prompt
		MaxTokens    int             // tokens of the answer at most; 0 if that isn't known
		Class        string          // requests that are alike, by whose mean this one is weighed
		Excluded     map[string]bool // servers that are left out, by ID
		SingleEngine bool            // the prompt is read where the answer is generated

		ObjectiveLeft time.Duration // left of the latency objective; 0 or less if it's missed already
		TimeLeft      time.Duration // until the caller needs the whole answer
		MustPlace     bool          // it is placed however long it would wait
	}

	// Choice is where a request goes. Reader is the server that reads the
	// prompt first and hands its KV cache over; without one, Runner does all.
	Choice struct {
		Prefiller    *Ticket
		Runner       *Ticket
		PrefixSource string        // address of a server whose memory has shared parts of the prompt; empty for none
		Late         bool          // it goes behind requests whose answers can still be in time
		QueueTime    time.Duration // before the request is begun
		FirstByte    time.Duration // to the first byte of the answer
	}

	// Outcome tells what came of a ticket.
	Outcome struct {
		Result    Result
		FirstByte time.Duration // from sending to the first byte of the answer, if one came
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
		reading
		chat  bool
		ended bool
	}

	// reading is a prompt's place among those that wait at a server.
	reading struct {
		work  time.Duration // as expected
		queue time.Duration // before it, as expected
		late  bool          // it goes behind what can still be in time
		chain []uint64      // prefixes that the server holds once the answer begins
		taken int           // tokens that its memory takes in by then
	}
)

// Results.
const (
	Succeeded  Result = iota // it answered
	Failed                   // it answered that it failed
	Refused                  // it said that the request didn't run
	NoResponse               // no answer, or a broken one
	Canceled                 // the caller left, which says nothing of the server
)

// Cancel gives a choice back that isn't followed.
func (c Choice) Cancel(now time.Time) {
	if c.Prefiller != nil {
		c.Prefiller.End(now, Outcome{Result: Canceled})
	}
	c.Runner.End(now, Outcome{Result: Canceled})
}
