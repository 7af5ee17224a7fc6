// Package tenure decides which instance makes the calls of a duty, so that there is one
// holder at a time.
//
// The holder is the leader of a replicated log. It takes the duty by an entry, whose index
// is its fencing token. It makes a call only within Timing.Freshness after a majority has
// confirmed that it leads, and gives the call up after Timing.CallTimeout; another
// instance that has become leader waits Timing.Wait before it takes the duty over. So no
// call of a holder arrives after one of its successor, and calls of a holder before and
// after the tenure of another are further apart than Timing.Lease. docs/design/duties.md
// has the reasons.
package tenure

import "time"

const (
	// maxDrift is how far the time of day and the steady clock may run apart within a call.
	// After a suspension, which the steady clock may not count, they differ by its length.
	maxDrift = 50 * time.Millisecond

	// waitMargin is added to the time that a new leader waits, for the transit of a call.
	waitMargin = 100 * time.Millisecond
)

type (
	// Take is a log entry by which an instance takes a duty.
	Take struct {
		Duty    string `cbor:"1,keyasint"`
		Holder  string `cbor:"2,keyasint"` // instance
		Process string `cbor:"3,keyasint"` // unique for each start of the instance
	}

	// Tenure is the holding of a duty by one process. The zero value means that nobody has
	// held the duty yet.
	Tenure struct {
		Holder  string `cbor:"1,keyasint" json:"holder"`
		Process string `cbor:"2,keyasint" json:"-"`
		Token   uint64 `cbor:"3,keyasint" json:"token"` // fencing token: grows with each tenure, of all duties
	}

	// Store is the replicated state: the latest tenure of each duty. Create it with new(Store).
	Store struct {
		Tenures   map[string]Tenure `cbor:"1,keyasint,omitempty"` // by duty
		LastToken uint64            `cbor:"2,keyasint,omitempty"`
	}

	// Timing has the durations that keep the calls of two holders apart.
	Timing struct {
		Lease       time.Duration // in which no two holders act in turns
		Freshness   time.Duration // for which a confirmation of the leadership permits a call to be sent
		CallTimeout time.Duration // after which a call that was begun is reset
	}
)

// Apply records that a process takes a duty, and returns its tenure. A process that holds
// the duty already keeps its token.
func (s *Store) Apply(index uint64, t Take) Tenure {
	held := s.Tenures[t.Duty]
	if held.Holder == t.Holder && held.Process == t.Process {
		return held
	}
	if s.Tenures == nil {
		s.Tenures = map[string]Tenure{}
	}
	s.LastToken = max(index, s.LastToken+1)
	held = Tenure{Holder: t.Holder, Process: t.Process, Token: s.LastToken}
	s.Tenures[t.Duty] = held
	return held
}

// DefaultTiming returns the timing for a lease.
func DefaultTiming(lease time.Duration) Timing {
	return Timing{Lease: lease, Freshness: 200 * time.Millisecond, CallTimeout: 2 * time.Second}
}

// Wait returns how long a new leader waits before it takes over a duty that another
// instance holds.
func (t Timing) Wait() time.Duration {
	handover := t.Freshness + t.CallTimeout // of the last call of a holder that doesn't lead any more
	return max(handover, (t.Lease+t.Freshness+handover)/2) + waitMargin
}

// MayTake reports whether an instance that has led for the given time may take a duty
// with the given latest tenure.
func (t Timing) MayTake(instance string, latest Tenure, led time.Duration) bool {
	return latest == Tenure{} || latest.Holder == instance || led >= t.Wait()
}

// MayCall reports whether a holder may begin to send a call. The arguments are the times
// since it asked a majority to confirm that it leads, by the steady clock and by the time
// of day.
func (t Timing) MayCall(steady, timeOfDay time.Duration) bool {
	return steady <= t.Freshness && (timeOfDay-steady).Abs() <= maxDrift
}
