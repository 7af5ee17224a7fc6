package contract

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// digestOf returns a hash of a change without its request ID and time. It
// shows whether two changes with the same request ID request the same.
// encoding/json sorts the keys of maps, so equal changes have equal digests.
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
