package quorum

import "slices"

// PromoteLearner returns the members with one learner that has caught up made a
// voter, and false when there is none. A learner takes the place of the voter
// that its instance was before it lost its disk; since one voter changes at a
// time, that voter is removed by one change and the learner promoted by the
// next, so the number of voters never grows by one that doesn't answer. An
// observer stays a learner.
func PromoteLearner(members []Member, caughtUp func(id string) bool) ([]Member, bool) {
	for _, learner := range members {
		if learner.Voter || learner.Observer || !caughtUp(learner.ID) {
			continue
		}
		next := withoutInstance(members, learner.Instance)
		if len(next) == len(members)-1 {
			learner.Voter = true // its instance has no other member
		}
		return append(next, learner), true
	}
	return nil, false
}

// RemoveUnresponsive returns the members without one that is quiet, and false when
// there is none to spare: keep voters that answer stay. A machine that was
// taken away for good would else count against every majority for ever. One
// that comes back all the same joins again.
func RemoveUnresponsive(members []Member, keep int, quiet func(id string) bool) ([]Member, bool) {
	answering := 0
	for _, m := range members {
		if m.Voter && !quiet(m.ID) {
			answering++
		}
	}
	if answering < keep {
		return nil, false
	}
	for i, m := range members {
		if quiet(m.ID) {
			return append(slices.Clone(members[:i]), members[i+1:]...), true
		}
	}
	return nil, false
}

// AddLearner returns the members with a new learner. Learners of the same
// instance that came before it are dropped. It returns false when the learner
// is a member already.
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
