// Package order records orders, which must not run twice.
//
// An order is a call of a service under an idempotency key that the caller
// chose. Its begin is committed to the replicated log before the first byte of
// the call is sent to the service, and its end is committed with the service's
// response. A caller that sends the same order again gets the recorded response,
// or learns that the order may have run. Only the attempt that began an order
// may send it to the service, and only once. Therefore an order runs at most once,
// whatever fails in between.
package order

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"endivedeck.example/fault"
)

// States of a record.
const (
	Open      State = iota // begun; the order may have run
	Done                   // the order has run and its response is recorded
	Abandoned              // the order did not run, and its attempt never will
)

// abandonedRetention is how long the record of an abandoned attempt is kept,
// so that a begin of it that arrives late is rejected.
const abandonedRetention = time.Minute

// shutdownRetention is how long the record of a sidecar's orderly shutdown is
// kept.
const shutdownRetention = time.Hour

type (
	// State is the state of a record.
	State uint8

	// Key identifies an order.
	Key struct {
		Customer string `cbor:"1,keyasint"`
		Service  string `cbor:"2,keyasint"`
		Key      string `cbor:"3,keyasint"` // idempotency key, chosen by the caller
	}

	// Response is the response of a service.
	Response struct {
		Status      int    `cbor:"1,keyasint"`
		ContentType string `cbor:"2,keyasint"`
		Body        []byte `cbor:"3,keyasint"`
	}

	// Record is the record of one order.
	Record struct {
		Key        Key       `cbor:"1,keyasint"`
		Digest     uint64    `cbor:"2,keyasint"` // of the call, to detect a key that is used for another one
		Attempt    string    `cbor:"3,keyasint"` // ID of the attempt that began the order
		BeginIndex uint64    `cbor:"4,keyasint"` // log index of the Begin
		State      State     `cbor:"5,keyasint"`
		Response   Response  `cbor:"6,keyasint"`
		ExpiresAt  time.Time `cbor:"7,keyasint"` // when the record expires
	}

	// Begin is the command that begins an order.
	Begin struct {
		Key       Key           `cbor:"1,keyasint"`
		Digest    uint64        `cbor:"2,keyasint"`
		Attempt   string        `cbor:"3,keyasint"`
		Retention time.Duration `cbor:"4,keyasint"` // how long the record is kept
		At        time.Time     `cbor:"5,keyasint"` // wall-clock time of the leader
	}

	// BeginResult is the result of a Begin. MayRun permits the attempt to send
	// the order to the service. It is set only for the attempt that began the
	// order.
	BeginResult struct {
		Error  *fault.Error `cbor:"1,keyasint,omitempty"`
		MayRun bool         `cbor:"2,keyasint"`
		Record Record       `cbor:"3,keyasint"`
	}

	// Finish is the command that records the end of an order. NotRun may be set
	// only if it is proven that the order did not run; it frees the key for
	// another attempt.
	Finish struct {
		Key        Key      `cbor:"1,keyasint"`
		BeginIndex uint64   `cbor:"2,keyasint"`
		NotRun     bool     `cbor:"3,keyasint"`
		Response   Response `cbor:"4,keyasint"`

		Attempt string    `cbor:"5,keyasint,omitempty"` // for NotRun, if BeginIndex is unknown
		Sidecar string    `cbor:"7,keyasint,omitempty"` // for NotRun, if only the recorded shutdown of this sidecar incarnation can prove it
		At      time.Time `cbor:"6,keyasint"`           // wall-clock time of the leader
	}

	// SidecarShutdown is the command that records a sidecar's orderly shutdown.
	// The sidecar will send no more orders to its service. Of those that it has
	// sent, the outcome is recorded or known, except for the open ones.
	SidecarShutdown struct {
		Sidecar string    `cbor:"1,keyasint"`           // incarnation
		Open    []uint64  `cbor:"2,keyasint,omitempty"` // Record.BeginIndex of the open orders
		At      time.Time `cbor:"3,keyasint"`           // wall-clock time of the leader
	}

	// FinishResult is the result of a Finish.
	FinishResult struct {
		Error *fault.Error `cbor:"1,keyasint,omitempty"`
	}

	// Store is the replicated table of orders. It is deterministic: the same
	// commands in the same order give the same table. It is not safe for
	// concurrent use.
	Store struct {
		Records   map[Key]*Record
		Shutdowns map[string]SidecarShutdown // by sidecar incarnation
		expiry    expiryHeap
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Records: map[Key]*Record{}, Shutdowns: map[string]SidecarShutdown{}}
}

// Begin applies the Begin at the given log index.
func (s *Store) Begin(index uint64, begin Begin) BeginResult {
	s.expireRecords(begin.At)
	r := s.Records[begin.Key]
	if r != nil && r.State == Abandoned && r.Attempt == begin.Attempt {
		return BeginResult{Error: &fault.Error{Kind: fault.Stale, Ran: fault.NotRun, Message: "the attempt was abandoned"}}
	}
	if r == nil || r.State == Abandoned {
		r = &Record{
			Key:        begin.Key,
			Digest:     begin.Digest,
			Attempt:    begin.Attempt,
			BeginIndex: index,
			ExpiresAt:  begin.At.Add(begin.Retention),
		}
		s.put(r)
		return BeginResult{MayRun: true, Record: *r}
	}
	if r.Digest != begin.Digest {
		return BeginResult{Error: &fault.Error{Kind: fault.Conflict, Ran: fault.NotRun, Message: "the idempotency key was used for another order"}}
	}
	// An attempt repeats its Begin if it got no result. It has not sent the
	// order to the service yet.
	repeated := r.State == Open && r.Attempt == begin.Attempt
	return BeginResult{MayRun: repeated, Record: *r}
}

// Finish applies a Finish. It is idempotent. A late Finish, for an order that
// was begun again in the meantime, changes nothing and returns fault.Stale.
func (s *Store) Finish(finish Finish) FinishResult {
	r := s.Records[finish.Key]
	if finish.NotRun {
		return s.abandon(r, finish)
	}
	if r == nil || r.BeginIndex != finish.BeginIndex || r.State == Abandoned {
		return FinishResult{Error: &fault.Error{Kind: fault.Stale, Ran: fault.MaybeRun, Message: "the order has no record any more"}}
	}
	if r.State == Open {
		r.State = Done
		r.Response = finish.Response
	}
	return FinishResult{}
}

// RecordShutdown applies a SidecarShutdown, and removes those recorded more than
// shutdownRetention ago.
func (s *Store) RecordShutdown(shutdown SidecarShutdown) {
	for sidecar, old := range s.Shutdowns {
		if shutdown.At.Sub(old.At) > shutdownRetention {
			delete(s.Shutdowns, sidecar)
		}
	}
	s.Shutdowns[shutdown.Sidecar] = shutdown
}

// provesNotRun reports whether a sidecar's recorded shutdown proves that the
// sidecar did not send an open order to its service.
func (s *Store) provesNotRun(sidecar string, beginIndex uint64) bool {
	shutdown, known := s.Shutdowns[sidecar]
	return known && !slices.Contains(shutdown.Open, beginIndex)
}

// abandon marks the attempt that began r as abandoned, or an attempt whose
// Begin has not arrived yet.
func (s *Store) abandon(r *Record, finish Finish) FinishResult {
	if finish.Sidecar != "" && !s.provesNotRun(finish.Sidecar, finish.BeginIndex) {
		return FinishResult{Error: &fault.Error{Kind: fault.NotFound, Ran: fault.MaybeRun, Message: "no recorded shutdown of the sidecar proves that the order did not run"}}
	}
	matches := r != nil && (r.BeginIndex == finish.BeginIndex || finish.Attempt != "" && r.Attempt == finish.Attempt)
	switch {
	case matches && r.State == Done:
		return FinishResult{Error: &fault.Error{Kind: fault.Conflict, Ran: fault.HasRun, Message: "the order is recorded as done"}}
	case matches && r.State == Open:
		s.put(&Record{Key: r.Key, Attempt: r.Attempt, BeginIndex: r.BeginIndex, State: Abandoned, ExpiresAt: finish.At.Add(abandonedRetention)})
	case r == nil && finish.Attempt != "":
		s.put(&Record{Key: finish.Key, Attempt: finish.Attempt, State: Abandoned, ExpiresAt: finish.At.Add(abandonedRetention)})
	}
	return FinishResult{}
}

// List returns all records in unspecified order.
func (s *Store) List() []Record {
	list := make([]Record, 0, len(s.Records))
	for _, r := range s.Records {
		list = append(list, *r)
	}
	return list
}

// ListShutdowns returns all recorded shutdowns in unspecified order.
func (s *Store) ListShutdowns() []SidecarShutdown { return slices.Collect(maps.Values(s.Shutdowns)) }

// Restore replaces the content of the store.
func (s *Store) Restore(records []Record, shutdowns []SidecarShutdown) {
	s.Shutdowns = make(map[string]SidecarShutdown, len(shutdowns))
	for _, shutdown := range shutdowns {
		s.Shutdowns[shutdown.Sidecar] = shutdown
	}
	s.Records = make(map[Key]*Record, len(records))
	s.expiry = nil
	for i := range records {
		s.put(&records[i])
	}
}

func (s *Store) put(r *Record) {
	s.Records[r.Key] = r
	heap.Push(&s.expiry, r)
}

// expireRecords removes the records that have expired at now, a time from the
// log. A record that has replaced an expired one stays.
func (s *Store) expireRecords(now time.Time) {
	for len(s.expiry) > 0 && now.After(s.expiry[0].ExpiresAt) {
		r := heap.Pop(&s.expiry).(*Record)
		if s.Records[r.Key] == r {
			delete(s.Records, r.Key)
		}
	}
}

// expiryHeap is a heap of records, the next one to expire first.
type expiryHeap []*Record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].ExpiresAt.Before(h[j].ExpiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*Record)) }

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
