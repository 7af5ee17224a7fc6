// Package roles decides which engines take prompts and which take chats.
//
// An engine of the role prefill works in large steps through long prompts, one
// of the role decode keeps its steps short so that tokens come evenly, and one
// of the role both does either. A change of role takes an engine away for
// seconds, so a Policy weighs what a change would gain over the time that the
// mix is expected to last. It decides over plain structs, without input or
// output; policies are plug-ins of the slot Policies.
package roles

import (
	"time"

	"endivedeck.example/kernel"
)

// Policies is the slot of role policies.
var Policies = kernel.NewSlot[Factory]("role policy")

type (
	// Policy decides on changes of role.
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
		FailureDomain string // failure domain
		Role          string // both, prefill or decode, as package change has it
		ChangePending bool
		Withdrawing   bool // a withdrawal is announced or done
	}

	// State is what a policy decides by.
	State struct {
		Engines        []Engine
		Demand         Demand
		MissedFraction float64       // part of the answers since the last decision that missed their limits
		RoleStability  float64       // weight of few role changes against goodput, 0 to 1
		ChangeDuration time.Duration // an engine is away for a change
		MinNonPrefill  int           // engines that must take chats in each failure domain that has some
	}

	// Demand is the work that came since the last decision, per second.
	Demand struct {
		LongPrompts float64 // engines' time for long prompts
		Other       float64 // engines' time for the rest
	}

	// Change is a decision with its reason, for the log line.
	Change struct {
		Engine string
		Role   string
		Reason string
	}
)
