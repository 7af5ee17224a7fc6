package routes

import (
	"strings"
	"unicode"

	"endivedeck.example/contract"
)

// RoutePriority is the Team.Priority of a team whose requests have the priority of
// their route.
const RoutePriority = -1

type (
	// Team is a customer as the routing table knows it: its name and its keys. What
	// it may use and how much of it is said by its contract, where it has one.
	Team struct {
		Name      string   `cbor:"1,keyasint"`
		Priority  int      `cbor:"2,keyasint"` // goes before that of the route, 0 is the highest; or RoutePriority
		KeyHashes []string `cbor:"3,keyasint"` // as returned by contract.HashKey
	}

	// teamIndex finds teams by the hashes of their keys.
	teamIndex map[string]*Team
)

func newTeamIndex(teams []Team) teamIndex {
	index := teamIndex{}
	for i := range teams {
		for _, hash := range teams[i].KeyHashes {
			index[hash] = &teams[i]
		}
	}
	return index
}

// find returns the team that holds a key, or nil. How long that takes depends on the
// hash of the key, which tells nothing of the keys that are close to it.
func (index teamIndex) find(key string) *Team {
	if key == "" {
		return nil
	}
	return index[contract.HashKey(key)]
}

// Rank returns the priority of a team's requests on a route; 0 is the highest. team
// is nil for a request without one.
func (r *Route) Rank(team *Team) int {
	if team == nil || team.Priority == RoutePriority {
		return r.Priority
	}
	return team.Priority
}

func validateTeams(teams []Team) error {
	holders := map[string]*Team{} // by key hash
	for i := range teams {
		team := &teams[i]
		if team.Name == "" || strings.ContainsFunc(team.Name, unfitForHeader) {
			return malformed("team %q: the name must be visible ASCII text", team.Name)
		}
		if team.Priority < RoutePriority {
			return malformed("team %q: the priority is negative: %d", team.Name, team.Priority)
		}
		for _, hash := range team.KeyHashes {
			if holder, taken := holders[hash]; taken && holder != team {
				return malformed("teams %q and %q share a key", holder.Name, team.Name)
			}
			holders[hash] = team
		}
	}
	return nil
}

// unfitForHeader reports whether a name with the rune can't be sent in a header.
func unfitForHeader(r rune) bool { return r <= ' ' || r > unicode.MaxASCII || r == 0x7f }

// TeamNamed returns the team with a name, or nil. The team is shared and must not be
// modified.
func (v *View) TeamNamed(name string) *Team {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, team := range v.teams {
		if team.Name == name {
			return team
		}
	}
	return nil
}
