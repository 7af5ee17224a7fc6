// Package rank provides mutexes with a lock order that is checked in tests.
//
// Every shared table of the program is guarded by one Mutex, which has a Rank. A
// goroutine may only acquire a mutex of a higher rank than all mutexes that it
// holds, so goroutines can't deadlock on each other's mutexes. The constants below
// define the order; docs/LOCKS.md explains it. In a test binary Lock panics when
// the order is violated. Elsewhere a Mutex has no more cost than a sync.Mutex.
package rank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"testing"
)

// The lock order, lowest first, with the main uses of each rank.
const (
	Control    Rank = iota + 1 // control: desired state and waiting calls of operators
	Lease                      // lease: leases, at the leader and at holders
	Contract                   // contract: contracts in force at this process
	Request                    // relay: timers of one request
	Admission                  // admission: current usage of each limit
	Fleet                      // fleet: backend servers known to an entry
	Backend                    // sidecar: state of its backend server, and sent orders; ramp: paced backend servers
	Order                      // sidecar: entries that receive grants; entry: order attempts to be resolved
	Stream                     // sidecar: resumable streams
	Connection                 // wire: connections to other processes; upstream: connections to backend servers; gate: connections of callers
	Allowance                  // allowance: what is held for callers
	Standin                    // standin: state of a stand-in for a backend server
	Pool                       // pool: queue of the worker pool
	Telemetry                  // kernel: metrics and log sinks
)

var (
	checkOrder = testing.Testing()
	heldRanks  sync.Map // goroutine id -> *[]Rank
)

type (
	// Rank is the position of a mutex in the lock order.
	Rank int

	// Mutex is a mutex with a rank. Create it with New.
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

// DisableChecks disables the checks in a test binary. It is meant for
// single-threaded code under test, where the order doesn't matter and the checks
// would take most of the time.
func DisableChecks() { checkOrder = false }

// Lock locks m. In a test binary it panics if the calling goroutine holds a mutex
// of the same or a higher rank.
func (m *Mutex) Lock() {
	if checkOrder {
		recordAcquire(m.rank)
	}
	m.mu.Lock()
}

// Unlock unlocks m.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	if checkOrder {
		recordRelease(m.rank)
	}
}

func recordAcquire(r Rank) {
	value, _ := heldRanks.LoadOrStore(goroutineID(), &[]Rank{})
	ranks := value.(*[]Rank)
	for _, heldRank := range *ranks {
		if heldRank >= r {
			panic(fmt.Sprintf("rank: acquiring rank %d while holding rank %d", r, heldRank))
		}
	}
	*ranks = append(*ranks, r)
}

func recordRelease(r Rank) {
	id := goroutineID()
	value, ok := heldRanks.Load(id)
	if !ok {
		panic("rank: unlock by a goroutine that holds no mutex")
	}
	ranks := value.(*[]Rank)
	for i := len(*ranks) - 1; i >= 0; i-- {
		if (*ranks)[i] == r {
			*ranks = append((*ranks)[:i], (*ranks)[i+1:]...)
			break
		}
	}
	if len(*ranks) == 0 {
		heldRanks.Delete(id)
	}
}

// goroutineID returns the ID of the calling goroutine. It is parsed from the first
// line of the stack trace, "goroutine 7 [running]:".
func goroutineID() uint64 {
	var buf [64]byte
	header := buf[:runtime.Stack(buf[:], false)]
	header = bytes.TrimPrefix(header, []byte("goroutine "))
	digits, _, _ := bytes.Cut(header, []byte(" "))
	id, _ := strconv.ParseUint(string(digits), 10, 64)
	return id
}
