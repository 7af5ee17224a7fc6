// Package roster knows the backend servers from what they say of themselves.
//
// A backend server announces itself to any control instance, again and again.
// Ledger is what one control instance has heard; it isn't replicated. Roster
// is what a relay makes of the ledgers of all control instances, so that the
// loss of some of them, or a partition, loses no backend server: the newest
// word of each one counts, whoever heard it.
package roster

import (
	"cmp"
	"time"
)

// Stages of a model engine.
const (
	Colocated Stage = ""        // it takes whole requests
	Prefill   Stage = "prefill" // it only reads prompts
	Decode    Stage = "decode"  // it generates, and reads prompts slowly
)

type (
	// Stage is the part of a request that an engine takes.
	Stage string

	// Server is a backend server as it announced itself.
	Server struct {
		ID        string `cbor:"1,keyasint"` // of one incarnation, mostly
		Service   string `cbor:"2,keyasint"`
		Address   string `cbor:"3,keyasint"`
		Domain    string `cbor:"4,keyasint"` // failure domain
		StartedAt int64  `cbor:"5,keyasint"` // its start, in Unix milliseconds of its own clock
		Seq       uint64 `cbor:"6,keyasint"` // counts its announcements since Born
		Slots     int    `cbor:"7,keyasint"`
		Stage     Stage  `cbor:"8,keyasint"`
		Draining  bool   `cbor:"9,keyasint"` // it takes no new work
		Departed  bool   `cbor:"10,keyasint"`
	}

	// Observation is a server with the time since its last announcement.
	Observation struct {
		Server Server        `cbor:"1,keyasint"`
		Age    time.Duration `cbor:"2,keyasint"`
	}
)

// newer orders two announcements of one server. Word that it is gone goes
// before everything else of the same start.
func newer(a, b *Server) int {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), boolOrder(a.Departed, b.Departed), cmp.Compare(a.Seq, b.Seq))
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// same reports whether two announcements differ in nothing that relays act on.
func same(a, b Server) bool {
	a.Seq = b.Seq
	return a == b
}
