package relay

import (
	"net/http"
	"time"

	"endivedeck.example/kernel"
	"endivedeck.example/placement"
	"endivedeck.example/roster"
	"endivedeck.example/upstream"
)

// maxSharedParts is how many parts of a prompt are logged and judged; callers choose
// their number.
const maxSharedParts = 32

// Dialects holds the registered dialects by name.
var Dialects = kernel.NewRegistry[Dialect]("dialect of requests")

type (
	// Dialect parses and writes the headers and bodies that callers and backend
	// servers use. It makes no routing or retry decisions.
	Dialect interface {
		// ParseRequest parses the header of a caller's request.
		ParseRequest(r *http.Request) (RequestInfo, error)

		// PartID returns the ID of a part of prompts by the name that callers use.
		PartID(name string) uint64
		// RequestHeader returns the header of the request to a backend server.
		RequestHeader(info *RequestInfo, opts SendOptions) http.Header

		// Match reports whether a response with the given header belongs to the
		// request.
		Match(info *RequestInfo, header http.Header) upstream.Match

		// Classify classifies a backend server's response.
		Classify(status int, header http.Header) ResponseClass

		// ServerNotice returns what a response says about its server.
		ServerNotice(status int, header http.Header) ServerNotice

		// CopyResponseHeader copies the header of a backend server's response to
		// that of the response to the caller.
		CopyResponseHeader(dst, src http.Header)

		// ParseKVHandle returns the handle of the KV cache from the body of the
		// response to a prefill.
		ParseKVHandle(body []byte) (string, error)

		// KVReleaseRequest returns the request that frees a KV cache that will not
		// be used.
		KVReleaseRequest(handle string) (method, path string)

		// CacheListRequest returns the request that lists what is in the KV cache of
		// a backend server.
		CacheListRequest() (method, path string)

		// ParseCacheList returns the IDs of the parts in the response to a cache list
		// request, as in placement.Part.
		ParseCacheList(body []byte) ([]uint64, error)

		// EventIDs returns the ID of each of the complete events, or an empty one for
		// an event without. Comments are no events.
		EventIDs(events []byte) []string
	}

	// RequestInfo is the information in the header of a caller's request.
	RequestInfo struct {
		ID           string
		Timeout      time.Duration // how long the caller waits for the response; 0 if not given
		Prompt       []placement.Part
		PromptTokens int    // of the whole prompt
		MaxTokens    int    // maximum number of tokens to generate; 0 if not given
		LastEventID  string // ID of the event after which to resume a stream; empty to start it
		Key          string // of the caller's team; empty if there is none or it isn't clear. It must not be logged.
		Header       http.Header
	}

	// SendOptions holds what a request to a backend server says in addition to the
	// caller's request.
	SendOptions struct {
		Server       roster.Server
		TimeLeft     time.Duration // time left for the response
		PrefillOnly  bool          // run only the prefill
		PrefixSource string        // address of a server whose KV cache has prefixes of the prompt; empty for none
		KVSource     string        // address of the server that ran the prefill; used with KVHandle
		KVHandle     string        // of the KV cache on that server; empty if the prefill runs with the request
		LastEventID  string        // ID of the event after which to resume the stream; empty to start it
		Priority     int           // 0 is the highest; negative for none
		Team         string        // name of the caller's team; empty for none
	}

	// ServerNotice is what a response says about the server that sent it, apart from
	// the request.
	ServerNotice struct {
		Leaving bool          // the server leaves and takes no new requests
		Pause   time.Duration // for which the server wants no requests of this relay; 0 for none
		Invalid string        // the text of a pause that can't be used; empty if there is none
	}

	// ResponseClass is the meaning of a backend server's response.
	ResponseClass int
)

// Meanings of a backend server's response.
const (
	Succeeded ResponseClass = iota // the request succeeded
	Failed                         // the request failed after it ran or may have run
	NotRun                         // the request has not run and will not
)

// sharedParts returns the IDs of the parts of the prompt that other requests may
// share, at most maxSharedParts. The last part belongs to the request alone.
func (i *RequestInfo) sharedParts() []uint64 {
	n := min(max(len(i.Prompt)-1, 0), maxSharedParts)
	ids := make([]uint64, 0, n)
	for _, part := range i.Prompt[:n] {
		ids = append(ids, part.ID)
	}
	return ids
}
