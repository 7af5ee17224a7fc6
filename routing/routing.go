// Package routing chooses the backend server for a request.
//
// A Policy decides over plain structs: what the entry knows of each candidate,
// which is late and has gaps, corrected by the entry's own work in flight. It
// does no input or output, so the same code decides in the live path and in a
// replay. Policies are plug-ins of the slot Policies.
package routing

import (
	"math/rand/v2"
	"time"

	"endivedeck.example/kernel"
)

// defaultToken is the engine time for one answer token where nothing was
// observed yet.
const defaultToken = 600 * time.Microsecond

// Policies is the slot of routing policies.
var Policies = kernel.NewSlot[Factory]("routing policy")

type (
	// Policy chooses among candidates.
	Policy interface {
		// Choose returns the chosen candidate's index, or -1 when none should
		// get the request. It isn't called concurrently.
		Choose(r Request, candidates []Candidate) Choice
	}

	// Factory builds a policy. The random source makes a replay repeatable.
	Factory func(random *rand.Rand) Policy

	// Request is what a policy may know of a request.
	Request struct {
		ID            string
		Customer      string
		Class         string
		Model         string
		FailureDomain string // failure domain of the entry
		PromptTokens  int    // tokens
		AnswerTokens  int    // tokens expected
		Priority      int
		Borrowed      bool          // it takes what other customers leave unused
		TTFTLimit     time.Duration // on the first token; 0 for none
		At            time.Time
		EntryCount    int // that the fleet's work is spread over; 0 where it isn't known
	}

	// Candidate is a backend server that may take the request.
	Candidate struct {
		Name                string
		FailureDomain       string        // failure domain
		Role                string        // of an engine: both, prefill or decode
		Running             int           // as last reported
		Queued              int           // as last reported
		Slots               int           // requests that run at once; 0 where it isn't known
		InFlight            int           // this entry's requests in flight there
		PendingTokens       int           // prompt tokens of those that have no token yet
		InFlightGrowth      int           // by how much this entry's requests there have grown since the report
		CachedTokens        int           // prompt tokens believed to be in its prefix cache
		ReportAge           time.Duration // of the report
		ConsecutiveFailures int           // in a row, most recently
		MeasuredTokenTime   time.Duration // engine time for one answer token among many, as observed; 0 where it isn't known
		PromptRate          float64       // prompt tokens a second, as observed; 0 where it isn't known
	}

	// Choice is a policy's decision and its reason, for the log line.
	Choice struct {
		Index  int
		TTFT   time.Duration // expected time to the first token
		Reason string
	}
)

// Load returns how many requests are believed to run or wait at a candidate:
// the report, which is late, corrected by this entry's own requests since.
func (c *Candidate) Load() int { return max(c.InFlight, c.Running+c.Queued+c.InFlightGrowth) }

// TokenTime returns the engine time that one token of an answer takes.
func (c *Candidate) TokenTime() time.Duration {
	if c.MeasuredTokenTime == 0 {
		return defaultToken
	}
	return c.MeasuredTokenTime
}

// NoChoice is the choice of no candidate.
func NoChoice(reason string) Choice { return Choice{Index: -1, Reason: reason} }
