package quorum

import "slices"

// Promotion returns the member list that brings one caught-up learner closer to
// being a voter, or false if there is no such learner. If the learner's instance
// still has another member, the voter it was before it lost its disk, the list
// only omits that member; the learner is promoted by the next change. Only one
// voter changes at a time, and the old voter goes first so that the number of
// voters never includes one that can't answer. Observers are never promoted.
func Promotion(members []Member, caughtUp func(id string) bool) ([]Member, bool) {
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

// Retirement returns the members without the first unresponsive one. It returns
// false if all members respond or fewer than minVoters voters do. Otherwise an
// instance that was decommissioned would count towards the majority for ever. A
// replica that was removed and returns joins again as a learner.
func Retirement(members []Member, minVoters int, unresponsive func(id string) bool) ([]Member, bool) {
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

// Joining returns the members with a new learner added and earlier learners of
// the same instance removed. It returns false if the learner is already a
// member.
func Joining(members []Member, learner Member) ([]Member, bool) {
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
