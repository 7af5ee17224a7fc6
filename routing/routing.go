// Package routing chooses the backend server for a request.
//
// A Policy decides on plain structs that hold what the entry process knows of
// each candidate: reports, which arrive late and may be lost, corrected by the
// requests that the entry process itself has in flight. It does no I/O, so
// production and the replay of a trace run the same code. Policies register
// themselves as plug-ins in Policies.
package routing

import (
	"math/rand/v2"
	"time"

	"endivedeck.example/kernel"
)

// defaultTokenTime is the engine time per answer token until one was measured.
const defaultTokenTime = 600 * time.Microsecond

// Policies is the registry of routing policies.
var Policies = kernel.NewRegistry[Factory]("routing policy")

type (
	// Policy chooses among candidates.
	Policy interface {
		// Choose returns the index of the chosen candidate, or -1 if none
		// should get the request. It is not called concurrently.
		Choose(r Request, candidates []Candidate) Choice
	}

	// Factory builds a policy. The random source makes a replay reproducible.
	Factory func(random *rand.Rand) Policy

	// Request is what a policy may know of a request.
	Request struct {
		ID            string
		Customer      string
		Class         string
		Model         string
		FailureDomain string // failure domain of the entry process
		PromptTokens  int
		AnswerTokens  int // expected
		Priority      int
		Borrowed      bool          // runs on capacity borrowed from other customers
		TTFTLimit     time.Duration // limit for the time to the first token; 0 for none
		At            time.Time
		EntryCount    int // entry processes that share the load; 0 if unknown
	}

	// Candidate is a backend server that may get the request.
	Candidate struct {
		Name                string
		FailureDomain       string
		Role                string        // of an engine: both, prefill or decode
		Running             int           // requests, as last reported
		Queued              int           // requests, as last reported
		Slots               int           // requests that run at the same time; 0 if unknown
		InFlight            int           // requests that this entry process has in flight there
		PendingTokens       int           // uncached prompt tokens of the InFlight requests that wait for their first token
		InFlightGrowth      int           // change of InFlight since the last report; may be negative
		CachedTokens        int           // prompt tokens believed to be in its prefix cache
		ReportAge           time.Duration // of the last report
		ConsecutiveFailures int           // up to and including the last request
		MeasuredTokenTime   time.Duration // engine time per answer token with all slots in use; 0 if unknown
		PromptRate          float64       // prompt tokens per second, as measured; 0 if unknown
	}

	// Choice is a policy's decision and, for the log, its reason.
	Choice struct {
		Index  int
		TTFT   time.Duration // expected time to the first token
		Reason string
	}
)

// Load returns the estimated number of requests that run or wait at a
// candidate: the last report plus InFlightGrowth, and at least InFlight.
func (c *Candidate) Load() int { return max(c.InFlight, c.Running+c.Queued+c.InFlightGrowth) }

// TokenTime returns the engine time per answer token.
func (c *Candidate) TokenTime() time.Duration {
	if c.MeasuredTokenTime == 0 {
		return defaultTokenTime
	}
	return c.MeasuredTokenTime
}

// NoChoice returns the choice of no candidate.
func NoChoice(reason string) Choice { return Choice{Index: -1, Reason: reason} }
