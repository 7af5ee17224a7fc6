// Package trace reads, writes and generates traces: recorded or synthetic
// workloads for measuring routing and role decisions.
//
// A trace is a file of JSON lines. The first line is a Header with the fleet,
// the engines' specification and the contracts. Each further line is one Event, in
// order of time: a request, or a failure, withdrawal or return of an engine. A
// prompt is a list of named segments. Prompts that begin with the same segments
// share these in the engines' prefix caches.
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
	Query    = "query"    // a request to the model
	Order    = "order"    // a request to a service; ignored by package replay
	Crash    = "crash"    // an engine fails
	Withdraw = "withdraw" // an engine drains, as announced, and accepts no new requests
	Return   = "return"   // an engine is back; after a crash its cache is empty
)

const maxLineBytes = 1 << 20

type (
	// Header describes the deployment that serves the trace's requests.
	Header struct {
		Version        int                 `json:"version"`
		Name           string              `json:"name"`
		Seed           uint64              `json:"seed"`
		LengthMS       int64               `json:"lengthMs"`
		Model          string              `json:"model"`
		FailureDomains []string            `json:"failureDomains"`
		EngineCount    int                 `json:"engines"`
		EntryCount     int                 `json:"entries"`      // entry processes
		EngineSpec     standin.EngineSpec  `json:"shape"`        // of every engine
		RoleChangeMS   int64               `json:"roleChangeMs"` // for which an engine is unavailable during a role change
		CacheEvents    CacheEventFeed      `json:"cacheEvents"`
		Contracts      []contract.Contract `json:"contracts"`
	}

	// CacheEventFeed describes the publication of cache events.
	CacheEventFeed struct {
		LagMS    int64   `json:"lagMs"`
		LossRate float64 `json:"gap"` // fraction of events that is lost
	}

	// Event is one line of a trace after the header.
	Event struct {
		AtMS         int64     `json:"at"` // since the trace's start
		Kind         string    `json:"kind"`
		ID           string    `json:"id,omitempty"`
		Customer     string    `json:"customer,omitempty"`
		Class        string    `json:"class,omitempty"`
		Prompt       []Segment `json:"prompt,omitempty"`
		AnswerTokens int       `json:"answer,omitempty"`
		EngineIndex  int       `json:"engine,omitempty"` // from 0
	}

	// Segment is a part of a prompt. Segments of the same name have the same
	// tokens.
	Segment struct {
		Name   string `json:"name"`
		Tokens int    `json:"tokens"`
	}

	// Trace is the content of a trace file.
	Trace struct {
		Header Header
		Events []Event
	}
)

// PromptTokens returns the number of tokens of the prompt.
func (e *Event) PromptTokens() int {
	total := 0
	for _, s := range e.Prompt {
		total += s.Tokens
	}
	return total
}

// BlockHashes returns a hash for each full block of pieceTokens tokens of the
// prompt. A hash covers the prompt up to the end of its block.
func (e *Event) BlockHashes(blockTokens int) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	untilBlockEnd := blockTokens
	for _, s := range e.Prompt {
		_, _ = digest.WriteString(s.Name)
		offset := 0
		for offset+untilBlockEnd <= s.Tokens {
			offset += untilBlockEnd
			untilBlockEnd = blockTokens
			_, _ = digest.WriteString(strconv.Itoa(offset))
			hashes = append(hashes, digest.Sum64())
		}
		untilBlockEnd -= s.Tokens - offset
	}
	return hashes
}

// SinceStart returns the time of the event since the trace's start.
func (e *Event) SinceStart() time.Duration { return time.Duration(e.AtMS) * time.Millisecond }

// Write writes a trace as JSON lines.
func Write(w io.Writer, t *Trace) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.Header); err != nil {
		return fault.New(fault.Internal, fault.NotRun, "writing the header of a trace: %v", err)
	}
	for i := range t.Events {
		if err := encoder.Encode(t.Events[i]); err != nil {
			return fault.New(fault.Internal, fault.NotRun, "writing event %d of a trace: %v", i, err)
		}
	}
	return buffered.Flush()
}

// Read reads and validates a trace. Errors are of kind fault.Malformed; those
// for invalid content give the line.
func Read(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	t := &Trace{}
	for line := 1; scanner.Scan(); line++ {
		if err := t.parseLine(line, scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.New(fault.Malformed, fault.NotRun, "reading a trace: %v", err)
	}
	if t.Header.Version == 0 {
		return nil, fault.New(fault.Malformed, fault.NotRun, "line 1: the trace is empty")
	}
	return t, nil
}

func (t *Trace) parseLine(line int, text []byte) error {
	if line == 1 {
		if err := json.Unmarshal(text, &t.Header); err != nil {
			return fault.New(fault.Malformed, fault.NotRun, "line 1: %v", err)
		}
		return t.Header.validate()
	}
	var e Event
	if err := json.Unmarshal(text, &e); err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "line %d: %v", line, err)
	}
	if err := t.validateEvent(line, e); err != nil {
		return err
	}
	t.Events = append(t.Events, e)
	return nil
}

func (h *Header) validate() error {
	switch {
	case h.Version != Version:
		return fault.New(fault.Malformed, fault.NotRun, "line 1: version: want %d, got %d", Version, h.Version)
	case h.EngineCount < 1 || h.EntryCount < 1 || len(h.FailureDomains) < 1:
		return fault.New(fault.Malformed, fault.NotRun, "line 1: engines, entries and failureDomains: want at least 1 each, got %d, %d and %d", h.EngineCount, h.EntryCount, len(h.FailureDomains))
	case h.EngineSpec.Slots < 1 || h.EngineSpec.Pieces < 1 || h.EngineSpec.PieceTokens < 1 || h.EngineSpec.PrefillRate <= 0 || h.EngineSpec.StepTime <= 0:
		return fault.New(fault.Malformed, fault.NotRun, "line 1: shape: want Slots, Pieces, PieceTokens, PrefillRate and StepTime above 0")
	}
	for i := range h.Contracts {
		if err := h.Contracts[i].Check(); err != nil {
			return fault.New(fault.Malformed, fault.NotRun, "line 1: contract %d: %s", i, fault.FromError(err).Message)
		}
	}
	return nil
}

func (t *Trace) validateEvent(line int, e Event) error {
	if n := len(t.Events); n > 0 && e.AtMS < t.Events[n-1].AtMS {
		return fault.New(fault.Malformed, fault.NotRun, "line %d: at: want at least %d as on the previous line, got %d", line, t.Events[n-1].AtMS, e.AtMS)
	}
	switch e.Kind {
	case Query:
		if e.ID == "" || e.AnswerTokens < 1 || e.PromptTokens() < 1 {
			return fault.New(fault.Malformed, fault.NotRun, "line %d: a query needs an id, and a prompt and an answer of at least one token", line)
		}
	case Order:
		if e.ID == "" {
			return fault.New(fault.Malformed, fault.NotRun, "line %d: an order needs an id", line)
		}
	case Crash, Withdraw, Return:
		if e.EngineIndex < 0 || e.EngineIndex >= t.Header.EngineCount {
			return fault.New(fault.Malformed, fault.NotRun, "line %d: engine: want 0 to %d, got %d", line, t.Header.EngineCount-1, e.EngineIndex)
		}
	default:
		return fault.New(fault.Malformed, fault.NotRun, "line %d: kind: want query, order, crash, withdraw or return, got %q", line, e.Kind)
	}
	return nil
}
