// Package order is the record of orders that may not be repeated.
//
// An order is a call of a plain service under a key that its caller chose. It
// is begun in the replicated log before its first byte leaves for the service,
// and finished there with the service's answer. Whoever sends the same order
// again gets the recorded answer, or learns that it may have run. Only the
// attempt that began an order may hand it over, and only once, so it runs at
// most once whatever fails in between.
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
	Open      State = iota // begun; it may have run
	Done                   // it has run and the answer is recorded
	Abandoned              // it didn't run, and its attempt never will
)

// voidTime is how long the record of an attempt that was given up is kept, so
// that its begin, if it comes late, begins nothing.
const voidTime = time.Minute

// endingTime is how long it is known that a sidecar has stopped as planned.
const endingTime = time.Hour

type (
	// State is the state of a record.
	State uint8

	// Key identifies an order.
	Key struct {
		Customer string `cbor:"1,keyasint"`
		Service  string `cbor:"2,keyasint"`
		Key      string `cbor:"3,keyasint"`
	}

	// Response is a service's answer.
	Response struct {
		Status      int    `cbor:"1,keyasint"`
		ContentType string `cbor:"2,keyasint"`
		Body        []byte `cbor:"3,keyasint"`
	}

	// Record is one order.
	Record struct {
		Key        Key       `cbor:"1,keyasint"`
		Digest     uint64    `cbor:"2,keyasint"` // of the call, so that a key can't stand for two
		Attempt    string    `cbor:"3,keyasint"` // the attempt that began it
		BeginIndex uint64    `cbor:"4,keyasint"` // the log's index of its begin
		State      State     `cbor:"5,keyasint"`
		Response   Response  `cbor:"6,keyasint"`
		ExpiresAt  time.Time `cbor:"7,keyasint"` // when the record may be forgotten
	}

	// Begin asks to begin an order.
	Begin struct {
		Key       Key           `cbor:"1,keyasint"`
		Digest    uint64        `cbor:"2,keyasint"`
		Attempt   string        `cbor:"3,keyasint"`
		Retention time.Duration `cbor:"4,keyasint"`
		At        time.Time     `cbor:"5,keyasint"` // the leader's time of day
	}

	// BeginResult answers Begin. Go is given to the attempt that began the order
	// and to no other.
	BeginResult struct {
		Error  *fault.Error `cbor:"1,keyasint,omitempty"`
		MayRun bool         `cbor:"2,keyasint"`
		Record Record       `cbor:"3,keyasint"`
	}

	// Finish records what became of an order. With NotRun, which needs
	// proof, the key is free again for another attempt.
	Finish struct {
		Key        Key      `cbor:"1,keyasint"`
		BeginIndex uint64   `cbor:"2,keyasint"`
		NotRun     bool     `cbor:"3,keyasint"`
		Response   Response `cbor:"4,keyasint"`

		Attempt string    `cbor:"5,keyasint,omitempty"` // of a NotRun whose Intent isn't known
		Sidecar string    `cbor:"7,keyasint,omitempty"` // incarnation that was to hand over what NotRun says, as far as its Ending proves it
		At      time.Time `cbor:"6,keyasint"`           // the leader's time of day
	}

	// SidecarShutdown tells that a sidecar has stopped as planned: it has handed over no
	// order that isn't recorded but the open ones, and never will.
	SidecarShutdown struct {
		Sidecar string    `cbor:"1,keyasint"` // its incarnation
		Open    []uint64  `cbor:"2,keyasint,omitempty"`
		At      time.Time `cbor:"3,keyasint"` // the leader's time of day
	}

	// FinishResult answers Finish.
	FinishResult struct {
		Error *fault.Error `cbor:"1,keyasint,omitempty"`
	}

	// Store is the replicated table of orders: the same commands in the same
	// order give the same book. It isn't safe for concurrent use.
	Store struct {
		Records   map[Key]*Record
		Shutdowns map[string]SidecarShutdown // by incarnation
		expiry    expiry
	}
)

// NewStore returns an empty book.
func NewStore() *Store {
	return &Store{Records: map[Key]*Record{}, Shutdowns: map[string]SidecarShutdown{}}
}

// Begin carries out the Begin at the given index of the log.
func (b *Store) Begin(index uint64, begin Begin) BeginResult {
	b.forget(begin.At)
	r := b.Records[begin.Key]
	if r != nil && r.State == Abandoned && r.Attempt == begin.Attempt {
		return BeginResult{Error: &fault.Error{Kind: fault.Stale, Ran: fault.No, Text: "the attempt was given up"}}
	}
	if r == nil || r.State == Abandoned {
		r = &Record{
			Key:        begin.Key,
			Digest:     begin.Digest,
			Attempt:    begin.Attempt,
			BeginIndex: index,
			ExpiresAt:  begin.At.Add(begin.Retention),
		}
		b.put(r)
		return BeginResult{MayRun: true, Record: *r}
	}
	if r.Digest != begin.Digest {
		return BeginResult{Error: &fault.Error{Kind: fault.Conflict, Ran: fault.No, Text: "the idempotency key was used for another order"}}
	}
	// The same attempt asks again when it didn't get its answer; it hasn't handed anything over yet.
	again := r.State == Open && r.Attempt == begin.Attempt
	return BeginResult{MayRun: again, Record: *r}
}

// Finish carries out a Finish. It is idempotent; a late one, for an order
// that was begun anew since, changes nothing and is fault.Stale.
func (b *Store) Finish(finish Finish) FinishResult {
	r := b.Records[finish.Key]
	if finish.NotRun {
		return b.void(r, finish)
	}
	if r == nil || r.BeginIndex != finish.BeginIndex || r.State == Abandoned {
		return FinishResult{Error: &fault.Error{Kind: fault.Stale, Ran: fault.Unknown, Text: "the order isn't on record any more"}}
	}
	if r.State == Open {
		r.State = Done
		r.Response = finish.Response
	}
	return FinishResult{}
}

// RecordShutdown notes that a sidecar has stopped.
func (b *Store) RecordShutdown(ending SidecarShutdown) {
	for name, e := range b.Shutdowns {
		if ending.At.Sub(e.At) > endingTime {
			delete(b.Shutdowns, name)
		}
	}
	b.Shutdowns[ending.Sidecar] = ending
}

// proves reports whether a sidecar's ending proves that an order wasn't handed
// over.
func (b *Store) proves(sidecar string, intent uint64) bool {
	ending, known := b.Shutdowns[sidecar]
	return known && !slices.Contains(ending.Open, intent)
}

// void gives up the attempt that began r, or one whose begin hasn't come yet.
func (b *Store) void(r *Record, finish Finish) FinishResult {
	if finish.Sidecar != "" && !b.proves(finish.Sidecar, finish.BeginIndex) {
		return FinishResult{Error: &fault.Error{Kind: fault.NotFound, Ran: fault.Unknown, Text: "nobody can tell whether the order was handed over"}}
	}
	own := r != nil && (r.BeginIndex == finish.BeginIndex || finish.Attempt != "" && r.Attempt == finish.Attempt)
	switch {
	case own && r.State == Done:
		return FinishResult{Error: &fault.Error{Kind: fault.Conflict, Ran: fault.Yes, Text: "the order is recorded as done"}}
	case own && r.State == Open:
		b.put(&Record{Key: r.Key, Attempt: r.Attempt, BeginIndex: r.BeginIndex, State: Abandoned, ExpiresAt: finish.At.Add(voidTime)})
	case r == nil && finish.Attempt != "":
		b.put(&Record{Key: finish.Key, Attempt: finish.Attempt, State: Abandoned, ExpiresAt: finish.At.Add(voidTime)})
	}
	return FinishResult{}
}

// List returns all records in no particular order.
func (b *Store) List() []Record {
	list := make([]Record, 0, len(b.Records))
	for _, r := range b.Records {
		list = append(list, *r)
	}
	return list
}

// ListShutdowns returns all endings in no particular order.
func (b *Store) ListShutdowns() []SidecarShutdown { return slices.Collect(maps.Values(b.Shutdowns)) }

// Restore replaces the book's content.
func (b *Store) Restore(records []Record, endings []SidecarShutdown) {
	b.Shutdowns = make(map[string]SidecarShutdown, len(endings))
	for _, e := range endings {
		b.Shutdowns[e.Sidecar] = e
	}
	b.Records = make(map[Key]*Record, len(records))
	b.expiry = nil
	for i := range records {
		b.put(&records[i])
	}
}

func (b *Store) put(r *Record) {
	b.Records[r.Key] = r
	heap.Push(&b.expiry, r)
}

// forget drops the records whose time is over at now, a time from the log.
func (b *Store) forget(now time.Time) {
	for len(b.expiry) > 0 && now.After(b.expiry[0].ExpiresAt) {
		r := heap.Pop(&b.expiry).(*Record)
		if b.Records[r.Key] == r {
			delete(b.Records, r.Key)
		}
	}
}

// expiry is a heap of records, the first to expire on top.
type expiry []*Record

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].ExpiresAt.Before(e[j].ExpiresAt) }
func (e expiry) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiry) Push(x any)        { *e = append(*e, x.(*Record)) }

func (e *expiry) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
