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
	Open State = iota // begun; it may have run
	Done              // it has run and the answer is recorded
	Void              // it didn't run, and its attempt never will
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

	// Answer is a service's answer.
	Answer struct {
		Status      int    `cbor:"1,keyasint"`
		ContentType string `cbor:"2,keyasint"`
		Body        []byte `cbor:"3,keyasint"`
	}

	// Record is one order.
	Record struct {
		Key     Key       `cbor:"1,keyasint"`
		Digest  uint64    `cbor:"2,keyasint"` // of the call, so that a key can't stand for two
		Attempt string    `cbor:"3,keyasint"` // the attempt that began it
		Intent  uint64    `cbor:"4,keyasint"` // the log's index of its begin
		State   State     `cbor:"5,keyasint"`
		Answer  Answer    `cbor:"6,keyasint"`
		Until   time.Time `cbor:"7,keyasint"` // when the record may be forgotten
	}

	// Begin asks to begin an order.
	Begin struct {
		Key     Key           `cbor:"1,keyasint"`
		Digest  uint64        `cbor:"2,keyasint"`
		Attempt string        `cbor:"3,keyasint"`
		Keep    time.Duration `cbor:"4,keyasint"`
		At      time.Time     `cbor:"5,keyasint"` // the leader's time of day
	}

	// Begun answers Begin. Go is given to the attempt that began the order
	// and to no other.
	Begun struct {
		Error  *fault.Error `cbor:"1,keyasint,omitempty"`
		Go     bool         `cbor:"2,keyasint"`
		Record Record       `cbor:"3,keyasint"`
	}

	// Finish records what became of an order. With NotRun, which needs
	// proof, the key is free again for another attempt.
	Finish struct {
		Key    Key    `cbor:"1,keyasint"`
		Intent uint64 `cbor:"2,keyasint"`
		NotRun bool   `cbor:"3,keyasint"`
		Answer Answer `cbor:"4,keyasint"`

		Attempt string    `cbor:"5,keyasint,omitempty"` // of a NotRun whose Intent isn't known
		Sidecar string    `cbor:"7,keyasint,omitempty"` // incarnation that was to hand over what NotRun says, as far as its Ending proves it
		At      time.Time `cbor:"6,keyasint"`           // the leader's time of day
	}

	// Ending tells that a sidecar has stopped as planned: it has handed over no
	// order that isn't recorded but the open ones, and never will.
	Ending struct {
		Sidecar string    `cbor:"1,keyasint"` // its incarnation
		Open    []uint64  `cbor:"2,keyasint,omitempty"`
		At      time.Time `cbor:"3,keyasint"` // the leader's time of day
	}

	// Finished answers Finish.
	Finished struct {
		Error *fault.Error `cbor:"1,keyasint,omitempty"`
	}

	// Book is the replicated table of orders: the same commands in the same
	// order give the same book. It isn't safe for concurrent use.
	Book struct {
		Records map[Key]*Record
		Endings map[string]Ending // by incarnation
		expiry  expiry
	}
)

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{Records: map[Key]*Record{}, Endings: map[string]Ending{}}
}

// Begin carries out the Begin at the given index of the log.
func (b *Book) Begin(index uint64, begin Begin) Begun {
	b.forget(begin.At)
	r := b.Records[begin.Key]
	if r != nil && r.State == Void && r.Attempt == begin.Attempt {
		return Begun{Error: &fault.Error{Kind: fault.Stale, Ran: fault.No, Text: "the attempt was given up"}}
	}
	if r == nil || r.State == Void {
		r = &Record{
			Key:     begin.Key,
			Digest:  begin.Digest,
			Attempt: begin.Attempt,
			Intent:  index,
			Until:   begin.At.Add(begin.Keep),
		}
		b.put(r)
		return Begun{Go: true, Record: *r}
	}
	if r.Digest != begin.Digest {
		return Begun{Error: &fault.Error{Kind: fault.Conflict, Ran: fault.No, Text: "the idempotency key was used for another order"}}
	}
	// The same attempt asks again when it didn't get its answer; it hasn't handed anything over yet.
	again := r.State == Open && r.Attempt == begin.Attempt
	return Begun{Go: again, Record: *r}
}

// Finish carries out a Finish. It is idempotent; a late one, for an order
// that was begun anew since, changes nothing and is fault.Stale.
func (b *Book) Finish(finish Finish) Finished {
	r := b.Records[finish.Key]
	if finish.NotRun {
		return b.void(r, finish)
	}
	if r == nil || r.Intent != finish.Intent || r.State == Void {
		return Finished{Error: &fault.Error{Kind: fault.Stale, Ran: fault.Unknown, Text: "the order isn't on record any more"}}
	}
	if r.State == Open {
		r.State = Done
		r.Answer = finish.Answer
	}
	return Finished{}
}

// End notes that a sidecar has stopped.
func (b *Book) End(ending Ending) {
	for name, e := range b.Endings {
		if ending.At.Sub(e.At) > endingTime {
			delete(b.Endings, name)
		}
	}
	b.Endings[ending.Sidecar] = ending
}

// proves reports whether a sidecar's ending proves that an order wasn't handed
// over.
func (b *Book) proves(sidecar string, intent uint64) bool {
	ending, known := b.Endings[sidecar]
	return known && !slices.Contains(ending.Open, intent)
}

// void gives up the attempt that began r, or one whose begin hasn't come yet.
func (b *Book) void(r *Record, finish Finish) Finished {
	if finish.Sidecar != "" && !b.proves(finish.Sidecar, finish.Intent) {
		return Finished{Error: &fault.Error{Kind: fault.NotFound, Ran: fault.Unknown, Text: "nobody can tell whether the order was handed over"}}
	}
	own := r != nil && (r.Intent == finish.Intent || finish.Attempt != "" && r.Attempt == finish.Attempt)
	switch {
	case own && r.State == Done:
		return Finished{Error: &fault.Error{Kind: fault.Conflict, Ran: fault.Yes, Text: "the order is recorded as done"}}
	case own && r.State == Open:
		b.put(&Record{Key: r.Key, Attempt: r.Attempt, Intent: r.Intent, State: Void, Until: finish.At.Add(voidTime)})
	case r == nil && finish.Attempt != "":
		b.put(&Record{Key: finish.Key, Attempt: finish.Attempt, State: Void, Until: finish.At.Add(voidTime)})
	}
	return Finished{}
}

// List returns all records in no particular order.
func (b *Book) List() []Record {
	list := make([]Record, 0, len(b.Records))
	for _, r := range b.Records {
		list = append(list, *r)
	}
	return list
}

// Ended returns all endings in no particular order.
func (b *Book) Ended() []Ending { return slices.Collect(maps.Values(b.Endings)) }

// Load replaces the book's content.
func (b *Book) Load(records []Record, endings []Ending) {
	b.Endings = make(map[string]Ending, len(endings))
	for _, e := range endings {
		b.Endings[e.Sidecar] = e
	}
	b.Records = make(map[Key]*Record, len(records))
	b.expiry = nil
	for i := range records {
		b.put(&records[i])
	}
}

func (b *Book) put(r *Record) {
	b.Records[r.Key] = r
	heap.Push(&b.expiry, r)
}

// forget drops the records whose time is over at now, a time from the log.
func (b *Book) forget(now time.Time) {
	for len(b.expiry) > 0 && now.After(b.expiry[0].Until) {
		r := heap.Pop(&b.expiry).(*Record)
		if b.Records[r.Key] == r {
			delete(b.Records, r.Key)
		}
	}
}

// expiry is a heap of records, the first to expire on top.
type expiry []*Record

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].Until.Before(e[j].Until) }
func (e expiry) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiry) Push(x any)        { *e = append(*e, x.(*Record)) }

func (e *expiry) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
