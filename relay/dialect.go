package relay

import (
	"net/http"
	"time"

	"endivedeck.example/kernel"
	"endivedeck.example/placement"
	"endivedeck.example/roster"
)

// Dialects holds the registered dialects by name.
var Dialects = kernel.NewSlot[Dialect]("dialect of requests")

type (
	// Dialect parses and writes the headers and bodies that callers and backend
	// servers use. It makes no routing or retry decisions.
	Dialect interface {
		// Read parses the header of a caller's request.
		Read(r *http.Request) (Ask, error)

		// Header returns the header of the request to a backend server.
		Header(a *Ask, s Send) http.Header

		// Mine reports whether a response with the given header belongs to the
		// request.
		Mine(a *Ask, header http.Header) bool

		// Judge classifies a backend server's response.
		Judge(status int, header http.Header) Verdict

		// Answer copies the header of a backend server's response to that of the
		// response to the caller.
		Answer(to, from http.Header)

		// Handle returns the handle of the KV cache from the body of the response
		// to a prefill.
		Handle(body []byte) (string, error)

		// Drop returns the request that frees a KV cache that will not be used.
		Drop(handle string) (method, path string)

		// LastEvent returns the ID of the last of the complete events, or last if
		// none of them has an ID.
		LastEvent(events []byte, last string) string
	}

	// Ask is the information in the header of a caller's request.
	Ask struct {
		ID     string
		Time   time.Duration // how long the caller waits for the response; 0 if not given
		Prompt []placement.Part
		Tokens int    // of the prompt
		Answer int    // maximum number of tokens to generate; 0 if not given
		Last   string // ID of the event after which to resume a stream; empty to start it
		Header http.Header
	}

	// Send holds what a request to a backend server says in addition to the
	// caller's request.
	Send struct {
		Server   roster.Server
		Left     time.Duration // time left for the response
		Read     bool          // run only the prefill
		Fetch    string        // address of a server whose KV cache has prefixes of the prompt; empty for none
		Source   string        // address of the server that ran the prefill; used with Handle
		Handle   string        // of the KV cache on that server; empty if the prefill runs with the request
		Last     string        // ID of the event after which to resume the stream; empty to start it
		Priority int           // 0 is the highest; negative for none
	}

	// Verdict is the meaning of a backend server's response.
	Verdict int
)

// Meanings of a backend server's response.
const (
	Done   Verdict = iota // the request succeeded
	Failed                // the request failed after it ran or may have run
	NotRun                // the request has not run and will not
)
