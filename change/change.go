// Package change implements the replicated state machine for announced changes
// to backend servers, such as draining one or assigning it another role.
//
// An operator or the role policy announces a change to one backend server. The
// log index of the announcement serves as the fencing token of the change: a
// sidecar ignores a token lower than the highest it has seen, and engines that
// check fencing tokens reject it as well. A backend server has at most one
// unfinished change, so an engine never receives conflicting commands.
package change

import (
	"maps"
	"slices"
	"time"

	"endivedeck.example/fault"
)

// Kinds of change.
const (
	Drain      Kind = "drain"    // accept no new requests until resumed
	Resume     Kind = "resume"   // accept requests again
	Replace    Kind = "replace"  // drain, then load another model or model version
	Withdraw   Kind = "withdraw" // drain, then leave the fleet permanently
	SwitchRole Kind = "role"     // drain, then switch to another role
)

// States of a change.
const (
	Announced State = "announced"
	Done      State = "done"
	Failed    State = "failed"
	Unknown   State = "unknown" // the engine failed midway; the sidecar queries its actual state
)

// Engine roles: the phases of a request that an engine runs.
const (
	RoleBoth    = "both"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

const (
	requestRetention = 24 * time.Hour // how long request IDs are kept to recognise resent announcements
	pruneThreshold   = 1000           // number of request IDs from which on expired ones are pruned
)

type (
	// Kind is the type of a change.
	Kind string

	// State is the progress of a change.
	State string

	// Announcement is a request to change one backend server. RequestID is the
	// ID by which a resent announcement is recognised; it may be empty.
	Announcement struct {
		RequestID     string    `cbor:"1,keyasint" json:"request"`
		BackendServer string    `cbor:"2,keyasint" json:"backendServer"`
		Kind          Kind      `cbor:"3,keyasint" json:"kind"`
		Role          string    `cbor:"4,keyasint" json:"role,omitempty"`
		Model         string    `cbor:"5,keyasint" json:"model,omitempty"`
		Author        string    `cbor:"6,keyasint" json:"by"`
		AnnouncedAt   time.Time `cbor:"7,keyasint" json:"at"`
	}

	// Change is an announced change and its progress. Text describes the result.
	Change struct {
		Announcement Announcement `cbor:"1,keyasint" json:"announcement"`
		FencingToken uint64       `cbor:"2,keyasint" json:"number"` // log index of the announcement
		Term         uint64       `cbor:"3,keyasint" json:"term"`   // term of the leader that accepted the announcement
		State        State        `cbor:"4,keyasint" json:"state"`
		Text         string       `cbor:"5,keyasint" json:"text,omitempty"`
	}

	// Report is a sidecar's report of the result of a change.
	Report struct {
		BackendServer string `cbor:"1,keyasint"`
		FencingToken  uint64 `cbor:"2,keyasint"`
		State         State  `cbor:"3,keyasint"`
		Text          string `cbor:"4,keyasint"`
	}

	// Outcome is the result of an Announcement. If Error is a
	// fault.Conflict, Change is the existing change that it conflicts with.
	Outcome struct {
		Error  *fault.Error `cbor:"1,keyasint,omitempty"`
		Change Change       `cbor:"2,keyasint"`
	}

	// Store is the replicated table of changes. It is deterministic: the same
	// commands in the same order produce the same contents. It isn't safe for
	// concurrent use.
	Store struct {
		Latest      map[string]Change `cbor:"1,keyasint"` // latest change by backend server name
		ByRequestID map[string]Change `cbor:"2,keyasint"` // change as first announced, by request ID
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Latest: map[string]Change{}, ByRequestID: map[string]Change{}}
}

// Check returns a fault.Malformed error if a required field is missing or a
// field has an unsupported value.
func (a *Announcement) Check() error {
	switch {
	case a.BackendServer == "":
		return fault.New(fault.Malformed, fault.NotRun, "backendServer: the field is required")
	case !slices.Contains([]Kind{Drain, Resume, Replace, Withdraw, SwitchRole}, a.Kind):
		return fault.New(fault.Malformed, fault.NotRun, "kind: got %q, want drain, resume, replace, withdraw or role", a.Kind)
	case a.Kind == SwitchRole && !slices.Contains([]string{RoleBoth, RolePrefill, RoleDecode}, a.Role):
		return fault.New(fault.Malformed, fault.NotRun, "role: got %q, want both, prefill or decode", a.Role)
	case a.Kind == Replace && a.Model == "":
		return fault.New(fault.Malformed, fault.NotRun, "model: the field is required for kind replace")
	}
	return nil
}

// Announce applies an announcement committed at the given log index. A resent
// request ID returns the change that it first announced.
func (s *Store) Announce(index, term uint64, a Announcement) Outcome {
	s.pruneRequests(a.AnnouncedAt)
	if earlier, ok := s.ByRequestID[a.RequestID]; ok && a.RequestID != "" {
		same := earlier.Announcement
		same.AnnouncedAt = a.AnnouncedAt
		if same != a {
			return conflict("the request ID was already used for a different change", earlier)
		}
		return Outcome{Change: s.current(earlier)}
	}
	current, exists := s.Latest[a.BackendServer]
	if exists && current.State == Announced && !supersedes(a, current) {
		return conflict("an earlier change of this backend server is still in progress", current)
	}
	if exists && current.Announcement.Kind == Withdraw && current.State == Done && a.Kind != Resume {
		return conflict("the backend server is withdrawn; only resume is allowed", current)
	}
	c := Change{Announcement: a, FencingToken: index, Term: term, State: Announced}
	s.Latest[a.BackendServer] = c
	if a.RequestID != "" {
		s.ByRequestID[a.RequestID] = c
	}
	return Outcome{Change: c}
}

// Report applies a sidecar's report. A report on a superseded or finished
// change has no effect.
func (s *Store) Report(r Report) {
	c, ok := s.Latest[r.BackendServer]
	if !ok || c.FencingToken != r.FencingToken || c.State != Announced {
		return
	}
	c.State = r.State
	c.Text = r.Text
	s.Latest[r.BackendServer] = c
}

// List returns the latest change of each backend server, sorted by server
// name.
func (s *Store) List() []Change {
	list := make([]Change, 0, len(s.Latest))
	for _, name := range slices.Sorted(maps.Keys(s.Latest)) {
		list = append(list, s.Latest[name])
	}
	return list
}

// current returns the current state of a change, or c as first announced if a
// later change of its backend server has replaced it.
func (s *Store) current(c Change) Change {
	if current := s.Latest[c.Announcement.BackendServer]; current.FencingToken == c.FencingToken {
		return current
	}
	return c
}

// pruneRequests deletes request IDs older than requestRetention once there are
// at least pruneThreshold of them. The age is measured by the time of the
// announcement being applied, so that all replicas delete the same ones.
func (s *Store) pruneRequests(now time.Time) {
	if len(s.ByRequestID) < pruneThreshold {
		return
	}
	maps.DeleteFunc(s.ByRequestID, func(_ string, c Change) bool {
		return now.Sub(c.Announcement.AnnouncedAt) > requestRetention
	})
}

// supersedes reports whether an announcement may replace an unfinished change.
// Only a resume may cancel a drain, because a drain sends no command to the
// engine.
func supersedes(a Announcement, current Change) bool {
	return current.Announcement.Kind == Drain && a.Kind == Resume
}

func conflict(text string, current Change) Outcome {
	return Outcome{Error: &fault.Error{Kind: fault.Conflict, Ran: fault.NotRun, Message: text}, Change: current}
}
