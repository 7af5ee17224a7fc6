// Package rank gives mutexes that know their place in the lock order.
//
// Every shared table of the system is guarded by one Mutex with one Rank. A
// goroutine may only acquire a mutex whose rank is higher than that of every
// mutex it already holds, so two goroutines can never wait for each other.
// The order is the list of constants below and is explained in docs/LOCKS.md.
// In a test binary each acquire is checked and a violation panics; elsewhere
// a Mutex costs what a sync.Mutex costs.
package rank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"testing"
)

// The lock order, lowest first.
const (
	Control    Rank = iota + 1 // control: desired state, waiting operators
	Lease                      // lease: table of configuration holders
	Contract                   // contract: contracts in force at this process
	Admission                  // admission: use of each limit
	Fleet                      // fleet: backend servers known to an entry
	Backend                    // sidecar: the state of its backend server
	Order                      // sidecar: orders that were already handed over
	Stream                     // delivery: streams that can be resumed
	Connection                 // wire: connections to other processes
	Standin                    // standin: state of a stand-in
	Pool                       // pool: the backlog of the worker pool
	Telemetry                  // kernel: metrics and log sinks
)

var (
	checked = testing.Testing()
	held    sync.Map // goroutine id -> *[]Rank
)

type (
	// Rank is a mutex's place in the lock order.
	Rank int

	// Mutex is a mutual exclusion lock with a rank. Create it with New.
	Mutex struct {
		mu   sync.Mutex
		rank Rank
	}
)

var _ sync.Locker = (*Mutex)(nil)

// New returns an unlocked mutex of the given rank.
func New(r Rank) Mutex {
	return Mutex{rank: r}
}

// DisableChecks ends the checks of a test binary whose code under test has one
// goroutine, where the order can't matter and the checks take most of the time.
func DisableChecks() { checked = false }

// Lock locks m. In a test binary it panics when the calling goroutine holds a
// mutex of the same or a higher rank.
func (m *Mutex) Lock() {
	if checked {
		push(m.rank)
	}
	m.mu.Lock()
}

// Unlock unlocks m.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	if checked {
		pop(m.rank)
	}
}

func push(r Rank) {
	value, _ := held.LoadOrStore(goroutine(), &[]Rank{})
	ranks := value.(*[]Rank)
	for _, other := range *ranks {
		if other >= r {
			panic(fmt.Sprintf("rank: acquiring rank %d while holding rank %d", r, other))
		}
	}
	*ranks = append(*ranks, r)
}

func pop(r Rank) {
	id := goroutine()
	value, ok := held.Load(id)
	if !ok {
		panic("rank: unlock by a goroutine that holds nothing")
	}
	ranks := value.(*[]Rank)
	for i := len(*ranks) - 1; i >= 0; i-- {
		if (*ranks)[i] == r {
			*ranks = append((*ranks)[:i], (*ranks)[i+1:]...)
			break
		}
	}
	if len(*ranks) == 0 {
		held.Delete(id)
	}
}

// goroutine returns the id of the calling goroutine, read off its stack
// header, "goroutine 7 [running]:".
func goroutine() uint64 {
	var buf [64]byte
	header := buf[:runtime.Stack(buf[:], false)]
	header = bytes.TrimPrefix(header, []byte("goroutine "))
	digits, _, _ := bytes.Cut(header, []byte(" "))
	id, _ := strconv.ParseUint(string(digits), 10, 64)
	return id
}
