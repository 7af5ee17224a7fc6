package quorum

type (
	// StateMachine is the replicated state machine. Its methods are called by one
	// goroutine, in log order.
	StateMachine interface {
		// Apply executes a committed command and returns its result. It must
		// be deterministic: every replica has to reach the same state.
		Apply(index, term uint64, command []byte) any

		// Save returns the encoded state, for a snapshot.
		Save() ([]byte, error)

		// Restore replaces the state by one that Save returned.
		Restore(state []byte) error
	}

	// Storage is the durable storage of a replica. When a method returns nil,
	// its arguments are durable. After an error the replica stops.
	Storage interface {
		// Append persists the term and the vote, unless hardState is nil, and
		// the entries, which replace all stored entries from the index of the
		// first one on.
		Append(hardState *HardState, entries []Entry) error

		// Install persists a snapshot together with the term, the vote and the
		// entries that follow the snapshot.
		Install(s Snapshot, hardState HardState, entries []Entry) error
	}

	// Sender sends messages to other replicas. Send doesn't block. Messages
	// may be lost, duplicated and reordered.
	Sender interface {
		Send(to Member, m Message)
	}

	// LeadershipObserver is notified when this replica gains or loses
	// leadership, or leads in a new term. A state machine may implement it; it
	// is called by the same goroutine as the other methods.
	LeadershipObserver interface {
		LeadershipChanged(leading bool, term uint64)
	}

	// Options configures a replica.
	Options struct {
		ID              string
		Timing          Timing
		State           PersistentState
		Storage         Storage
		StateMachine    StateMachine
		Sender          Sender
		Seed            uint64
		SnapshotEntries uint64 // number of applied entries between two snapshots; 0 selects the default
	}
)
