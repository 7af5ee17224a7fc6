// Package roles decides which engines process prompts and which generate
// answers.
//
// An engine of the prefill role processes long prompts in large steps; one of
// the decode role keeps its steps short, so that answer tokens come at an even
// pace; one of the role both does either. An engine is unavailable for seconds
// while its role changes, so a Policy weighs what a change would gain over the
// time that the mix of requests is expected to last. It decides on plain
// structs and does no I/O. Policies register themselves as plug-ins in
// Policies.
package roles

import (
	"time"

	"endivedeck.example/kernel"
)

// Policies is the registry of role policies.
var Policies = kernel.NewRegistry[Factory]("role policy")

type (
	// Policy decides on role changes.
	Policy interface {
		// Decide returns the changes to announce now. It is called about once
		// a second and not concurrently.
		Decide(now time.Time, s State) []Change
	}

	// Factory builds a policy.
	Factory func() Policy

	// Engine is one engine as a policy sees it.
	Engine struct {
		Name          string
		FailureDomain string
		Role          string // both, prefill or decode, as in package change
		ChangePending bool   // a change is announced and not yet done
		Withdrawing   bool   // a withdrawal is announced or done
	}

	// State is the input of a decision.
	State struct {
		Engines        []Engine
		Demand         Demand
		MissedFraction float64       // fraction of the answers since the last decision that missed their limits
		RoleStability  float64       // preference for few role changes over goodput, 0 to 1
		ChangeDuration time.Duration // for which an engine is unavailable during a change
		MinNonPrefill  int           // engines of other roles than prefill to keep in each failure domain
	}

	// Demand is the work that arrived since the last decision, in seconds of
	// engine time per second.
	Demand struct {
		LongPrompts float64 // for long prompts
		Other       float64 // for short prompts and all answers
	}

	// Change is a decision and, for the log, its reason.
	Change struct {
		Engine string
		Role   string
		Reason string
	}
)
