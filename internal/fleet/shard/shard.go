// Package shard assigns each backend server to one of the relays, by rendezvous
// hashing. All relays that know the same members compute the same assignment, and
// a member that joins or leaves moves only its own share.
package shard

import "github.com/cespare/xxhash/v2"

// Owner returns the member that key is assigned to, or "" if there are no members.
func Owner(members []string, key string) string {
	owner := ""
	var ownerWeight uint64
	for _, member := range members {
		weight := xxhash.Sum64String(member + "\x00" + key)
		if owner == "" || weight > ownerWeight || weight == ownerWeight && member < owner {
			owner, ownerWeight = member, weight
		}
	}
	return owner
}

// Place returns the place of a member in the order in which the members would own key if
// those before them left: 0 for the owner.
func Place(members []string, member, key string) int {
	place := 0
	for _, other := range members {
		if other != member && Owner([]string{other, member}, key) == other {
			place++
		}
	}
	return place
}
