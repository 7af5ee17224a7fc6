// Package change holds the announced changes to engines.
//
// An operator, or the role policy, announces a change for one backend server.
// The place of the announcement in the replicated log is the change's number,
// which fences it: a sidecar carries out no number older than one it has seen,
// and engines that check refuse it too. A backend server has one change at a
// time, so an engine never receives conflicting orders.
package change

import (
	"maps"
	"slices"
	"time"

	"endivedeck.example/fault"
)

// Kinds of change.
const (
	Drain      Kind = "drain"    // no new work, until resumed
	Resume     Kind = "resume"   // take work again
	Replace    Kind = "replace"  // drain, then load a model or version
	Withdraw   Kind = "withdraw" // drain, then leave for good
	SwitchRole Kind = "role"     // drain, then take another role
)

// States of a change.
const (
	Announced State = "announced"
	Done      State = "done"
	Failed    State = "failed"
	Unknown   State = "unknown" // the engine broke off; its state is read back
)

// Roles of engines.
const (
	RoleBoth    = "both"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

const (
	rememberTime = 24 * time.Hour
	keptDone     = 1000
)

type (
	// Kind says what a change does.
	Kind string

	// State says how far a change is.
	State string

	// Announcement asks for a change.
	Announcement struct {
		RequestID     string    `cbor:"1,keyasint" json:"request"`
		BackendServer string    `cbor:"2,keyasint" json:"backendServer"`
		Kind          Kind      `cbor:"3,keyasint" json:"kind"`
		Role          string    `cbor:"4,keyasint" json:"role,omitempty"`
		Model         string    `cbor:"5,keyasint" json:"model,omitempty"`
		Author        string    `cbor:"6,keyasint" json:"by"`
		AnnouncedAt   time.Time `cbor:"7,keyasint" json:"at"`
	}

	// Change is an announced change.
	Change struct {
		Announcement Announcement `cbor:"1,keyasint" json:"announcement"`
		FencingToken uint64       `cbor:"2,keyasint" json:"number"` // the fencing number
		Term         uint64       `cbor:"3,keyasint" json:"term"`   // of the leader that took it
		State        State        `cbor:"4,keyasint" json:"state"`
		Text         string       `cbor:"5,keyasint" json:"text,omitempty"`
	}

	// Report says what a sidecar found out about a change.
	Report struct {
		BackendServer string `cbor:"1,keyasint"`
		FencingToken  uint64 `cbor:"2,keyasint"`
		State         State  `cbor:"3,keyasint"`
		Text          string `cbor:"4,keyasint"`
	}

	// Outcome answers an Announcement. With fault.Conflict, Change is the
	// one that stands.
	Outcome struct {
		Error  *fault.Error `cbor:"1,keyasint,omitempty"`
		Change Change       `cbor:"2,keyasint"`
	}

	// Store is the replicated table of changes: the same commands in the same
	// order give the same book. It isn't safe for concurrent use.
	Store struct {
		Latest      map[string]Change `cbor:"1,keyasint"` // the newest change of each backend server
		ByRequestID map[string]Change `cbor:"2,keyasint"` // by request id
	}
)

// NewStore returns an empty book.
func NewStore() *Store {
	return &Store{Latest: map[string]Change{}, ByRequestID: map[string]Change{}}
}

// Check returns fault.Malformed when the announcement makes no sense.
func (a *Announcement) Check() error {
	switch {
	case a.BackendServer == "":
		return fault.New(fault.Malformed, fault.No, "backendServer: the field is needed")
	case !slices.Contains([]Kind{Drain, Resume, Replace, Withdraw, SwitchRole}, a.Kind):
		return fault.New(fault.Malformed, fault.No, "kind: want drain, resume, replace, withdraw or role")
	case a.Kind == SwitchRole && !slices.Contains([]string{RoleBoth, RolePrefill, RoleDecode}, a.Role):
		return fault.New(fault.Malformed, fault.No, "role: want both, prefill or decode")
	case a.Kind == Replace && a.Model == "":
		return fault.New(fault.Malformed, fault.No, "model: the field is needed for replace")
	}
	return nil
}

// Announce carries out the announcement at the given place of the log.
func (b *Store) Announce(index, term uint64, a Announcement) Outcome {
	b.forget(a.AnnouncedAt)
	if earlier, ok := b.ByRequestID[a.RequestID]; ok && a.RequestID != "" {
		same := earlier.Announcement
		same.AnnouncedAt = a.AnnouncedAt
		if same != a {
			return refused("the request id was used for another change", earlier)
		}
		return Outcome{Change: b.newest(earlier)}
	}
	current, busy := b.Latest[a.BackendServer]
	if busy && current.State == Announced && !supersedes(a, current) {
		return refused("an earlier change of this backend server isn't done yet", current)
	}
	if busy && current.Announcement.Kind == Withdraw && current.State == Done && a.Kind != Resume {
		return refused("the backend server is withdrawn", current)
	}
	c := Change{Announcement: a, FencingToken: index, Term: term, State: Announced}
	b.Latest[a.BackendServer] = c
	if a.RequestID != "" {
		b.ByRequestID[a.RequestID] = c
	}
	return Outcome{Change: c}
}

// Report carries out a sidecar's report. One about an older change, or about
// a change that is over, has no effect.
func (b *Store) Report(r Report) {
	c, ok := b.Latest[r.BackendServer]
	if !ok || c.FencingToken != r.FencingToken || c.State != Announced {
		return
	}
	c.State = r.State
	c.Text = r.Text
	b.Latest[r.BackendServer] = c
}

// List returns the newest change of each backend server, by its name.
func (b *Store) List() []Change {
	list := make([]Change, 0, len(b.Latest))
	for _, name := range slices.Sorted(maps.Keys(b.Latest)) {
		list = append(list, b.Latest[name])
	}
	return list
}

// newest returns a change as it stands now.
func (b *Store) newest(c Change) Change {
	if current := b.Latest[c.Announcement.BackendServer]; current.FencingToken == c.FencingToken {
		return current
	}
	return c
}

func (b *Store) forget(now time.Time) {
	if len(b.ByRequestID) < keptDone {
		return
	}
	maps.DeleteFunc(b.ByRequestID, func(_ string, c Change) bool {
		return now.Sub(c.Announcement.AnnouncedAt) > rememberTime
	})
}

// supersedes reports whether an announcement may take the place of one that
// isn't done: a drain may be called off, for it orders nothing of the engine.
func supersedes(a Announcement, current Change) bool {
	return current.Announcement.Kind == Drain && a.Kind == Resume
}

func refused(text string, current Change) Outcome {
	return Outcome{Error: &fault.Error{Kind: fault.Conflict, Ran: fault.No, Text: text}, Change: current}
}
