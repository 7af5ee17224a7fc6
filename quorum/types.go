// Package quorum is a replicated log.
//
// A group of replicas agrees on one sequence of entries. The package splits
// the work in three. Core decides: it is a state machine over plain structs
// that does no input or output and is told the time. A Keeper keeps what must
// survive. Replica drives both: it makes what Core decided durable before any
// message that depends on it leaves, and applies committed entries to the
// caller's Machine.
//
// The rules are those of a majority-vote log with terms. In addition:
//
//   - A vote is first asked for without raising the term (pre-vote), and a
//     replica that hears a leader grants none, so a replica that was cut off
//     doesn't depose a working leader when it returns.
//   - A leader that hasn't been heard by a majority for an election timeout
//     steps down (check-quorum), so one that is silently cut off stops
//     answering reads and granting leases.
//   - A leader that stops hands its place over: it steps down first, and has the
//     voter that holds all of its log ask for votes at once, which replicas
//     that still hear the old leader grant as well.
//   - Membership changes add or remove one voter at a time. A replica whose
//     disk was lost comes back under a new identity, as a learner, and votes
//     only after it has caught up.
package quorum

import "time"

// Kinds of entries.
const (
	Command          EntryKind = iota // a command of the caller's Machine
	NoOp                              // what a new leader appends first
	MembershipChange                  // a change of members
)

// Kinds of messages.
const (
	PreVote MessageKind = iota
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	InstallSnapshot
	InstallSnapshotReply
	TimeoutNow
)

type (
	// EntryKind is the kind of an entry.
	EntryKind uint8

	// MessageKind is the kind of a message.
	MessageKind uint8

	// Member is one replica of the group. ID is unique for ever: a replica
	// that lost its disk gets another.
	Member struct {
		ID       string `cbor:"1,keyasint" json:"id"`
		Instance string `cbor:"2,keyasint" json:"instance"`
		Address  string `cbor:"3,keyasint" json:"address"`
		Voter    bool   `cbor:"4,keyasint" json:"voter"`
		Observer bool   `cbor:"5,keyasint,omitempty" json:"observer,omitempty"` // it keeps nothing, and never becomes a voter
	}

	// Entry is one place in the log.
	Entry struct {
		Index   uint64    `cbor:"1,keyasint"`
		Term    uint64    `cbor:"2,keyasint"`
		Kind    EntryKind `cbor:"3,keyasint"`
		Data    []byte    `cbor:"4,keyasint,omitempty"`
		Members []Member  `cbor:"5,keyasint,omitempty"`
	}

	// HardState is what a replica must never forget.
	HardState struct {
		Term uint64 `cbor:"1,keyasint"`
		Vote string `cbor:"2,keyasint"`
	}

	// Snapshot replaces the log up to and including Index.
	Snapshot struct {
		Index   uint64   `cbor:"1,keyasint"`
		Term    uint64   `cbor:"2,keyasint"`
		Members []Member `cbor:"3,keyasint"`
		Data    []byte   `cbor:"4,keyasint"`
	}

	// Message passes between replicas. Which fields count depends on Kind.
	Message struct {
		Kind               MessageKind `cbor:"1,keyasint"`
		From               string      `cbor:"2,keyasint"`
		To                 string      `cbor:"3,keyasint"`
		Term               uint64      `cbor:"4,keyasint"`
		Index              uint64      `cbor:"5,keyasint"` // log position before Entries; last position for votes; match for replies
		LogTerm            uint64      `cbor:"6,keyasint"` // term at Index
		Commit             uint64      `cbor:"7,keyasint"`
		Reject             bool        `cbor:"8,keyasint"`
		Sent               int64       `cbor:"9,keyasint"` // leader's clock in ns when it asked; echoed by the reply
		Entries            []Entry     `cbor:"10,keyasint,omitempty"`
		Snapshot           *Snapshot   `cbor:"11,keyasint,omitempty"`
		LeadershipTransfer bool        `cbor:"12,keyasint,omitempty"` // of a vote: the leader itself gave its place up
	}

	// Timing holds the time constants of a group; all replicas use the same.
	Timing struct {
		HeartbeatInterval time.Duration // between a leader's messages to a quiet follower
		ElectionTimeout   time.Duration // least silence before a replica asks for votes; the most is twice this
	}

	// Ready is what Core decided and the driver must now carry out, in this
	// order: install Snapshot, make Ballot and Entries durable, send
	// Messages, apply Committed.
	Ready struct {
		Snapshot  *Snapshot
		HardState *HardState
		Entries   []Entry // replace what the log holds from the first one's index on
		Messages  []Message
		Committed []Entry
	}

	// PersistentState is what a Journal gives back after a restart.
	PersistentState struct {
		HardState HardState
		Snapshot  Snapshot
		Entries   []Entry
	}

	// Status describes a replica for operators.
	Status struct {
		ID        string   `cbor:"1,keyasint" json:"id"`
		Term      uint64   `cbor:"2,keyasint" json:"term"`
		Leader    string   `cbor:"3,keyasint" json:"leader"`
		Commit    uint64   `cbor:"4,keyasint" json:"commit"`
		LastIndex uint64   `cbor:"5,keyasint" json:"lastIndex"`
		Members   []Member `cbor:"6,keyasint" json:"members"`
	}
)

// DefaultTiming suits failure domains up to a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{HeartbeatInterval: 300 * time.Millisecond, ElectionTimeout: 700 * time.Millisecond}
}
