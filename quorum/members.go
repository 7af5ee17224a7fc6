package quorum

import "slices"

// PromoteLearner returns the members after the next step towards promoting a
// caught-up learner, or false if there is no such learner. A learner whose instance
// lost its disk replaces the voter that the instance was before. One change may
// affect only one voter, so the first step removes the old voter and the second
// one promotes the learner. In this order the number of voters never grows while
// one of them can't reply. Observers are never promoted.
func PromoteLearner(members []Member, caughtUp func(id string) bool) ([]Member, bool) {
	for _, learner := range members {
		if learner.Voter || learner.Observer || !caughtUp(learner.ID) {
			continue
		}
		next := withoutInstance(members, learner.Instance)
		if len(next) == len(members)-1 {
			learner.Voter = true // no other member of this instance is left
		}
		return append(next, learner), true
	}
	return nil, false
}

// RemoveUnresponsive returns the members without the first unresponsive one, or
// false if all members respond or fewer than minVoters voters do. Otherwise a
// decommissioned instance would count towards the size of a majority for ever. A
// removed replica that returns joins again.
func RemoveUnresponsive(members []Member, minVoters int, unresponsive func(id string) bool) ([]Member, bool) {
	responsive := 0
	for _, m := range members {
		if m.Voter && !unresponsive(m.ID) {
			responsive++
		}
	}
	if responsive < minVoters {
		return nil, false
	}
	for i, m := range members {
		if unresponsive(m.ID) {
			return append(slices.Clone(members[:i]), members[i+1:]...), true
		}
	}
	return nil, false
}

// AddLearner returns the members with a new learner added and earlier learners of
// the same instance removed, or false if the learner is already a member.
func AddLearner(members []Member, learner Member) ([]Member, bool) {
	learner.Voter = false
	var next []Member
	for _, m := range members {
		if m.ID == learner.ID {
			return nil, false
		}
		if m.Voter || m.Instance != learner.Instance {
			next = append(next, m)
		}
	}
	return append(next, learner), true
}

func withoutInstance(members []Member, instance string) []Member {
	var rest []Member
	for _, m := range members {
		if m.Instance != instance {
			rest = append(rest, m)
		}
	}
	return rest
}
