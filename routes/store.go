package routes

type (
	// Store is the replicated state: the newest table. Create it with new(Store).
	Store struct {
		Table  Table `cbor:"1,keyasint"`
		Stored bool  `cbor:"2,keyasint,omitempty"` // Table was stored; see Newest for older snapshots
	}

	// Outcome is the result of proposing a table.
	Outcome struct {
		Stored  bool   // the proposed table is now the newest
		Version uint64 // newest stored version
	}
)

// Apply stores the table if it is the first one or its version is higher than
// that of the stored table, and ignores it otherwise.
func (s *Store) Apply(t Table) Outcome {
	if newest, known := s.Newest(); known && t.Version <= newest.Version {
		return Outcome{Version: newest.Version}
	}
	s.Table, s.Stored = t, true
	return Outcome{Stored: true, Version: t.Version}
}

// Newest returns the newest table, or false if none has been stored. Snapshots
// without Stored were written when no table of version 0 could be stored.
func (s *Store) Newest() (t Table, known bool) {
	return s.Table, s.Stored || s.Table.Version > 0
}
