package routes

type (
	// Store is the replicated table. Create it with new(Store).
	Store struct {
		Table Table `cbor:"1,keyasint"`
	}

	// Outcome is what became of a proposed table.
	Outcome struct {
		Stored  bool   // it is the newest now
		Version uint64 // the newest version
	}
)

// Apply stores the table if its version is higher than the stored one's. A
// table that isn't newer changes nothing.
func (b *Store) Apply(t Table) Outcome {
	if t.Version > b.Table.Version {
		b.Table = t
		return Outcome{Stored: true, Version: t.Version}
	}
	return Outcome{Version: b.Table.Version}
}
