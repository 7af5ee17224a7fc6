package contract

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// digestOf tells changes with the same request id apart. Its time isn't part
// of a change. JSON writes maps in order, so equal changes have equal digests.
func digestOf(change Change) string {
	text, err := json.Marshal(struct {
		Customer string
		Replaces uint64
		Contract *Contract
	}{change.Customer, change.Replaces, change.Contract})
	if err != nil {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(text), 16)
}
