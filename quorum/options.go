package quorum

type (
	// StateMachine is the state that the log's commands change. Its methods are
	// called by one goroutine, in the order of the log.
	StateMachine interface {
		// Apply carries out a committed command and returns its result. It
		// must give the same result on every replica.
		Apply(index, term uint64, command []byte) any

		// Save returns the whole state.
		Save() ([]byte, error)

		// Restore replaces the whole state by one that Save returned.
		Restore(state []byte) error
	}

	// Storage keeps what must survive a restart. When a method returns nil,
	// what it was given is durable. After an error the replica ends.
	Storage interface {
		// Append keeps the ballot, if there is one, and the entries, which
		// replace those from the first one's index on.
		Append(ballot *HardState, entries []Entry) error

		// Install keeps a snapshot, with the ballot and the entries behind it.
		Install(s Snapshot, ballot HardState, entries []Entry) error
	}

	// Sender sends messages to other replicas. It may lose, repeat and
	// reorder them, and doesn't wait.
	Sender interface {
		Send(to Member, m Message)
	}

	// LeadershipObserver is told when this replica begins or ceases to lead. It is an
	// optional ability of a Machine and is called by the same goroutine.
	LeadershipObserver interface {
		LeadershipChanged(leading bool, term uint64)
	}

	// Options holds what a replica is made of.
	Options struct {
		ID              string
		Timing          Timing
		State           PersistentState
		Storage         Storage
		StateMachine    StateMachine
		Sender          Sender
		Seed            uint64
		SnapshotEntries uint64 // entries between two snapshots; 0 for the default
	}
)
