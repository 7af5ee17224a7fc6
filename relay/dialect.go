package relay

import (
	"net/http"
	"time"

	"endivedeck.example/kernel"
	"endivedeck.example/placement"
	"endivedeck.example/roster"
)

// Dialects is the slot of dialects.
var Dialects = kernel.NewSlot[Dialect]("dialect of requests")

type (
	// Dialect decodes and encodes what callers and backend servers say. It
	// decides nothing.
	Dialect interface {
		// Read returns what a caller's request says of itself.
		Read(r *http.Request) (Ask, error)

		// Header returns the header with which a request goes to a server.
		Header(a *Ask, s Send) http.Header

		// Mine reports whether a server's answer belongs to the request.
		Mine(a *Ask, header http.Header) bool

		// Judge says what a server's answer means.
		Judge(status int, header http.Header) Verdict

		// Answer copies a server's header to that of the answer to the caller.
		Answer(to, from http.Header)

		// Handle returns the name of a KV cache from the answer of the server
		// that has read a prompt.
		Handle(body []byte) (string, error)

		// Drop returns the request that frees a KV cache nobody will take.
		Drop(handle string) (method, path string)

		// LastEvent returns the ID of the last of some whole events, or last
		// if they have none.
		LastEvent(events []byte, last string) string
	}

	// Ask is what a request says of itself.
	Ask struct {
		ID     string
		Time   time.Duration // that the caller waits; 0 if it doesn't say
		Prompt []placement.Part
		Tokens int    // of the prompt
		Answer int    // tokens of the answer at most; 0 if it doesn't say
		Last   string // the event after which a stream goes on; empty for its beginning
		Header http.Header
	}

	// Send says how a request is sent to a server.
	Send struct {
		Server   roster.Server
		Left     time.Duration // for the answer
		Read     bool          // only the prompt is read
		Fetch    string        // address of a server that holds shared parts of the prompt
		Source   string        // address of the server that has read the prompt
		Handle   string        // name of the KV cache there
		Last     string        // the event after which the stream goes on
		Priority int           // 0 goes first; below 0 for none
	}

	// Verdict says what an answer means.
	Verdict int
)

// Verdicts.
const (
	Done   Verdict = iota // the request ran well
	Failed                // it ran, or may have, and failed
	NotRun                // it hasn't run and won't
)
