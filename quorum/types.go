// Package quorum implements a replicated log with the Raft consensus algorithm.
//
// A group of replicas agrees on one sequence of entries. Core is the consensus
// state machine: it works on plain structs, does no I/O and receives the
// current time as an argument. The caller provides durable storage and the
// replicated state machine. Replica drives them: it makes the output of Core
// durable before it sends any message that depends on it, and applies committed
// entries to the replicated state machine.
//
// The package extends basic Raft as follows:
//
//   - Pre-vote: a candidate first asks for votes without raising the term, and
//     a replica that has a live leader grants none. A replica that returns from
//     a network partition therefore doesn't depose a working leader.
//   - Check-quorum: a leader that gets no replies from a majority for an
//     election timeout steps down, so an isolated leader stops answering reads
//     and granting leases.
//   - Leadership transfer: a leader that is about to stop first steps down,
//     then asks a voter that holds its whole log to start an election at once.
//     Replicas vote in that election even if they have just received a message
//     of the old leader.
//   - Membership changes add or remove one voter at a time. A replica that lost
//     its disk rejoins under a new ID as a learner, and becomes a voter only
//     after it has caught up.
package quorum

import "time"

// Kinds of entries.
const (
	Command EntryKind = iota // command for the replicated state machine
	NoOp                     // no-op that a new leader appends to start its term
	MembershipChange
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
	TimeoutNow // asks the receiver to start an election at once
)

type (
	// EntryKind is the kind of an entry.
	EntryKind uint8

	// MessageKind is the kind of a message.
	MessageKind uint8

	// Member is one replica of the group. An ID is never reused: a replica
	// that lost its disk gets a new one.
	Member struct {
		ID       string `cbor:"1,keyasint" json:"id"`
		Instance string `cbor:"2,keyasint" json:"instance"`
		Address  string `cbor:"3,keyasint" json:"address"`
		Voter    bool   `cbor:"4,keyasint" json:"voter"`
		Observer bool   `cbor:"5,keyasint,omitempty" json:"observer,omitempty"` // has no durable storage and is never promoted to voter
	}

	// Entry is one log entry.
	Entry struct {
		Index   uint64    `cbor:"1,keyasint"`
		Term    uint64    `cbor:"2,keyasint"`
		Kind    EntryKind `cbor:"3,keyasint"`
		Data    []byte    `cbor:"4,keyasint,omitempty"`
		Members []Member  `cbor:"5,keyasint,omitempty"`
	}

	// HardState is the current term and the vote cast in it. A replica must
	// persist both so that it never votes twice in one term.
	HardState struct {
		Term uint64 `cbor:"1,keyasint"`
		Vote string `cbor:"2,keyasint"`
	}

	// Snapshot holds the state machine's state and the members as of Index,
	// and replaces the log up to and including that entry.
	Snapshot struct {
		Index   uint64   `cbor:"1,keyasint"`
		Term    uint64   `cbor:"2,keyasint"`
		Members []Member `cbor:"3,keyasint"`
		Data    []byte   `cbor:"4,keyasint"`
	}

	// Message is sent from one replica to another. Kind determines which
	// fields are used.
	Message struct {
		Kind               MessageKind `cbor:"1,keyasint"`
		From               string      `cbor:"2,keyasint"`
		To                 string      `cbor:"3,keyasint"`
		Term               uint64      `cbor:"4,keyasint"`
		Index              uint64      `cbor:"5,keyasint"` // index before Entries; last log index for votes; matching index for replies
		LogTerm            uint64      `cbor:"6,keyasint"` // term at Index
		Commit             uint64      `cbor:"7,keyasint"`
		Reject             bool        `cbor:"8,keyasint"`
		Sent               int64       `cbor:"9,keyasint"` // leader's clock in ns when it sent the request; echoed by the reply
		Entries            []Entry     `cbor:"10,keyasint,omitempty"`
		Snapshot           *Snapshot   `cbor:"11,keyasint,omitempty"`
		LeadershipTransfer bool        `cbor:"12,keyasint,omitempty"` // vote requested for a leadership transfer; granted despite a live leader
	}

	// Timing holds the timeouts of a group. All replicas of a group must use
	// the same values.
	Timing struct {
		HeartbeatInterval time.Duration
		ElectionTimeout   time.Duration // minimum election timeout; the maximum is twice this
	}

	// Ready is the pending output of Core. The driver must process it in this
	// order: install the snapshot, make the term, the vote and the entries
	// durable, send the messages, apply the committed entries. Core.Ready tells
	// which messages may be sent earlier.
	Ready struct {
		Snapshot  *Snapshot
		HardState *HardState // nil if unchanged
		Entries   []Entry    // replace all log entries from the index of the first one on
		Messages  []Message
		Committed []Entry
	}

	// PersistentState is the state that a replica restarts with.
	PersistentState struct {
		HardState HardState
		Snapshot  Snapshot
		Entries   []Entry
	}

	// Status describes a replica, for operators.
	Status struct {
		ID        string   `cbor:"1,keyasint" json:"id"`
		Term      uint64   `cbor:"2,keyasint" json:"term"`
		Leader    string   `cbor:"3,keyasint" json:"leader"`
		Commit    uint64   `cbor:"4,keyasint" json:"commit"`
		LastIndex uint64   `cbor:"5,keyasint" json:"lastIndex"`
		Members   []Member `cbor:"6,keyasint" json:"members"`
	}
)

// DefaultTiming returns timeouts for failure domains with a network latency of
// up to a few milliseconds between them.
func DefaultTiming() Timing {
	return Timing{HeartbeatInterval: 300 * time.Millisecond, ElectionTimeout: 700 * time.Millisecond}
}
