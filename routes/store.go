package routes

type (
	// Store is the replicated state: the newest table. Create it with new(Store).
	Store struct {
		Table Table `cbor:"1,keyasint"`
	}

	// Outcome is the result of proposing a table.
	Outcome struct {
		Stored  bool   // the proposed table is now the newest
		Version uint64 // newest stored version
	}
)

// Apply stores the table if its version is higher than that of the stored
// table, and ignores it otherwise.
func (s *Store) Apply(t Table) Outcome {
	if t.Version > s.Table.Version {
		s.Table = t
		return Outcome{Stored: true, Version: t.Version}
	}
	return Outcome{Version: s.Table.Version}
}
