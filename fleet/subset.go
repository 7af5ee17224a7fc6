package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/message"
)

// Subset returns the backend servers that one entry process uses: up to size
// of each group that serves the same first model or the same service, chosen
// by rendezvous hashing. Each entry process gets its own subset. On average all
// backend servers are used equally, and one that is added or removed changes at
// most one element of a subset per group.
func Subset(entry string, backends []message.Backend, size int) []message.Backend {
	groups := map[string][]message.Backend{}
	for _, b := range backends {
		group := b.Service
		if len(b.Models) > 0 {
			group = b.Models[0]
		}
		groups[group] = append(groups[group], b)
	}
	var subset []message.Backend
	for _, group := range groups {
		if len(group) > size {
			slices.SortFunc(group, func(a, b message.Backend) int {
				return cmp.Or(cmp.Compare(hashScore(entry, a.Name), hashScore(entry, b.Name)), cmp.Compare(a.Name, b.Name))
			})
			group = group[:size]
		}
		subset = append(subset, group...)
	}
	return subset
}

func hashScore(entry, backend string) uint64 { return xxhash.Sum64String(entry + "\x00" + backend) }
