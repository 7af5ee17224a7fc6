package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/message"
)

// Subset returns the backend servers that one entry uses: of each kind of work
// the given number, chosen by rendezvous hashing. Each entry has a subset of
// its own, all are used alike on average, and a backend server that comes or
// goes changes one place of a subset.
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
				return cmp.Or(cmp.Compare(score(entry, a.Name), score(entry, b.Name)), cmp.Compare(a.Name, b.Name))
			})
			group = group[:size]
		}
		subset = append(subset, group...)
	}
	return subset
}

func score(entry, backend string) uint64 { return xxhash.Sum64String(entry + "\x00" + backend) }
