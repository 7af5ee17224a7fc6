// Package roster discovers backend servers from their announcements.
//
// A backend server periodically announces itself to any control instance. A
// Registry holds the announcements that one control instance has received; it is
// not replicated. A Roster is a relay's merged view of the registries of all
// control instances. It uses the newest announcement of each server, whichever
// instance received it, so the failure of some control instances or a network
// partition doesn't remove any backend server.
package roster

import (
	"cmp"
	"time"
)

// Stages of request processing that a model engine can serve.
const (
	Colocated Stage = ""        // prefill and decode
	Prefill   Stage = "prefill" // prefill only
	Decode    Stage = "decode"  // decode; also prefill, at a lower rate
)

type (
	// Stage is the part of a request that an engine serves.
	Stage string

	// Server is a backend server as described by its announcement.
	Server struct {
		ID        string `cbor:"1,keyasint"` // usually differs after a restart
		Service   string `cbor:"2,keyasint"`
		Address   string `cbor:"3,keyasint"`
		Domain    string `cbor:"4,keyasint"` // failure domain
		StartedAt int64  `cbor:"5,keyasint"` // start time, Unix milliseconds by the server's own clock
		Seq       uint64 `cbor:"6,keyasint"` // number of the announcement since the start
		Slots     int    `cbor:"7,keyasint"` // requests that the server runs at the same time
		Stage     Stage  `cbor:"8,keyasint"`
		Draining  bool   `cbor:"9,keyasint"`  // accepts no new requests
		Departed  bool   `cbor:"10,keyasint"` // has left
	}

	// Observation is a server and the time since its last announcement.
	Observation struct {
		Server Server        `cbor:"1,keyasint"`
		Age    time.Duration `cbor:"2,keyasint"`
	}
)

// compareAnnouncements returns a positive number if a supersedes b, a negative
// number if b supersedes a, and 0 if they are the same announcement. Once a
// server has left, only a later start supersedes that.
func compareAnnouncements(a, b *Server) int {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), compareBools(a.Departed, b.Departed), cmp.Compare(a.Seq, b.Seq))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// equivalent reports whether two announcements are equal in all fields that
// relays use, which are all but Seq.
func equivalent(a, b Server) bool {
	a.Seq = b.Seq
	return a == b
}
