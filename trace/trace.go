// Package trace is the recorded or made-up load that decisions are measured
// by.
//
// A trace is a file of JSON lines. The first line is a Header with the fleet,
// the engines' shape and the contracts; each further line is one Event, in the
// order of time: a request, or something that happens to a backend server.
// A prompt is given by its segments, so that two prompts which begin with the
// same segments share their beginning in the engines' caches.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/standin"
)

// Version is the version of the format that this package reads and writes.
const Version = 1

// Kinds of events.
const (
	Query    = "query"
	Order    = "order"
	Crash    = "crash"    // an engine ends at once
	Withdraw = "withdraw" // announced: the engine drains and leaves
	Return   = "return"   // an engine is back, with nothing in its cache
)

const maxLineBytes = 1 << 20

type (
	// Header describes what a trace plays against.
	Header struct {
		Version   int                 `json:"version"`
		Name      string              `json:"name"`
		Seed      uint64              `json:"seed"`
		Length    int64               `json:"lengthMs"`
		Model     string              `json:"model"`
		Domains   []string            `json:"failureDomains"`
		Engines   int                 `json:"engines"`
		Entries   int                 `json:"entries"`
		Shape     standin.Shape       `json:"shape"`
		Change    int64               `json:"roleChangeMs"` // an engine is away for a change of role
		Cache     Cache               `json:"cacheEvents"`
		Contracts []contract.Contract `json:"contracts"`
	}

	// Cache says how cache events are published.
	Cache struct {
		LagMS int64   `json:"lagMs"`
		Gap   float64 `json:"gap"` // the part that is lost
	}

	// Event is one line of a trace behind the header.
	Event struct {
		At       int64     `json:"at"` // ms since the trace's start
		Kind     string    `json:"kind"`
		ID       string    `json:"id,omitempty"`
		Customer string    `json:"customer,omitempty"`
		Class    string    `json:"class,omitempty"`
		Prompt   []Segment `json:"prompt,omitempty"`
		Answer   int       `json:"answer,omitempty"` // tokens
		Engine   int       `json:"engine,omitempty"` // place of an engine, from 0
	}

	// Segment is a part of a prompt. The same name means the same tokens.
	Segment struct {
		Name   string `json:"name"`
		Tokens int    `json:"tokens"`
	}

	// Trace is a whole trace.
	Trace struct {
		Header Header
		Events []Event
	}
)

// Tokens returns how many tokens the event's prompt has.
func (e *Event) Tokens() int {
	sum := 0
	for _, s := range e.Prompt {
		sum += s.Tokens
	}
	return sum
}

// Prefix returns the hashes of the prompt's whole pieces.
func (e *Event) Prefix(pieceTokens int) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	left := pieceTokens
	for _, s := range e.Prompt {
		_, _ = digest.WriteString(s.Name)
		at := 0
		for at+left <= s.Tokens {
			at += left
			left = pieceTokens
			_, _ = digest.WriteString(strconv.Itoa(at))
			hashes = append(hashes, digest.Sum64())
		}
		left -= s.Tokens - at
	}
	return hashes
}

// Time returns when the event is, after the trace's start.
func (e *Event) Time() time.Duration { return time.Duration(e.At) * time.Millisecond }

// Write writes a trace.
func Write(w io.Writer, t *Trace) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.Header); err != nil {
		return fault.New(fault.Internal, fault.No, "writing a trace: %v", err)
	}
	for i := range t.Events {
		if err := encoder.Encode(t.Events[i]); err != nil {
			return fault.New(fault.Internal, fault.No, "writing a trace: %v", err)
		}
	}
	return buffered.Flush()
}

// Read reads a trace; an error is fault.Malformed and names the line.
func Read(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	t := &Trace{}
	for line := 1; scanner.Scan(); line++ {
		if err := t.read(line, scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.New(fault.Malformed, fault.No, "reading a trace: %v", err)
	}
	if t.Header.Version == 0 {
		return nil, fault.New(fault.Malformed, fault.No, "line 1: the trace is empty")
	}
	return t, nil
}

func (t *Trace) read(line int, text []byte) error {
	if line == 1 {
		if err := json.Unmarshal(text, &t.Header); err != nil {
			return fault.New(fault.Malformed, fault.No, "line 1: %v", err)
		}
		return t.Header.check()
	}
	var e Event
	if err := json.Unmarshal(text, &e); err != nil {
		return fault.New(fault.Malformed, fault.No, "line %d: %v", line, err)
	}
	if err := t.check(line, e); err != nil {
		return err
	}
	t.Events = append(t.Events, e)
	return nil
}

func (h *Header) check() error {
	switch {
	case h.Version != Version:
		return fault.New(fault.Malformed, fault.No, "line 1: version: want %d, got %d", Version, h.Version)
	case h.Engines < 1 || h.Entries < 1 || len(h.Domains) < 1:
		return fault.New(fault.Malformed, fault.No, "line 1: engines, entries and failureDomains: want one at least")
	case h.Shape.Slots < 1 || h.Shape.Pieces < 1 || h.Shape.PieceTokens < 1 || h.Shape.PrefillRate <= 0 || h.Shape.StepTime <= 0:
		return fault.New(fault.Malformed, fault.No, "line 1: shape: a field is missing or not above 0")
	}
	for i := range h.Contracts {
		if err := h.Contracts[i].Check(); err != nil {
			return fault.New(fault.Malformed, fault.No, "line 1: contract %d: %s", i, fault.From(err).Text)
		}
	}
	return nil
}

func (t *Trace) check(line int, e Event) error {
	if n := len(t.Events); n > 0 && e.At < t.Events[n-1].At {
		return fault.New(fault.Malformed, fault.No, "line %d: at: earlier than the line before", line)
	}
	switch e.Kind {
	case Query:
		if e.ID == "" || e.Answer < 1 || e.Tokens() < 1 {
			return fault.New(fault.Malformed, fault.No, "line %d: a query needs id, prompt and answer", line)
		}
	case Order:
		if e.ID == "" {
			return fault.New(fault.Malformed, fault.No, "line %d: an order needs an id", line)
		}
	case Crash, Withdraw, Return:
		if e.Engine < 0 || e.Engine >= t.Header.Engines {
			return fault.New(fault.Malformed, fault.No, "line %d: engine: want 0 to %d", line, t.Header.Engines-1)
		}
	default:
		return fault.New(fault.Malformed, fault.No, "line %d: kind: no such kind %q", line, e.Kind)
	}
	return nil
}
