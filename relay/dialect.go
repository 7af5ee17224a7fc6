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
		// ParseRequest returns what a caller's request says of itself.
		ParseRequest(r *http.Request) (RequestInfo, error)

		// RequestHeader returns the header with which a request goes to a server.
		RequestHeader(a *RequestInfo, s SendOptions) http.Header

		// Matches reports whether a server's answer belongs to the request.
		Matches(a *RequestInfo, header http.Header) bool

		// Classify says what a server's answer means.
		Classify(status int, header http.Header) ResponseClass

		// CopyResponseHeader copies a server's header to that of the answer to the caller.
		CopyResponseHeader(to, from http.Header)

		// ParseKVHandle returns the name of a KV cache from the answer of the server
		// that has read a prompt.
		ParseKVHandle(body []byte) (string, error)

		// KVReleaseRequest returns the request that frees a KV cache nobody will take.
		KVReleaseRequest(handle string) (method, path string)

		// LastEventID returns the ID of the last of some whole events, or last
		// if they have none.
		LastEventID(events []byte, last string) string
	}

	// RequestInfo is what a request says of itself.
	RequestInfo struct {
		ID           string
		Timeout      time.Duration // that the caller waits; 0 if it doesn't say
		Prompt       []placement.Part
		PromptTokens int    // of the prompt
		MaxTokens    int    // tokens of the answer at most; 0 if it doesn't say
		LastEventID  string // the event after which a stream goes on; empty for its beginning
		Header       http.Header
	}

	// SendOptions says how a request is sent to a server.
	SendOptions struct {
		Server       roster.Server
		TimeLeft     time.Duration // for the answer
		PrefillOnly  bool          // only the prompt is read
		PrefixSource string        // address of a server that holds shared parts of the prompt
		KVSource     string        // address of the server that has read the prompt
		KVHandle     string        // name of the KV cache there
		LastEventID  string        // the event after which the stream goes on
		Priority     int           // 0 goes first; below 0 for none
	}

	// ResponseClass says what an answer means.
	ResponseClass int
)

// Verdicts.
const (
	Succeeded ResponseClass = iota // the request ran well
	Failed                         // it ran, or may have, and failed
	NotRun                         // it hasn't run and won't
)
