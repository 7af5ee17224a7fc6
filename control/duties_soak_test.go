package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/duties/tenure"
	"endivedeck.example/internal/usage/meter"
	"endivedeck.example/interval"
	"endivedeck.example/wal"
)

const (
	dutySoakSeeds = 12
	dutySoakTime  = 3 * time.Minute
	dutyCalmTime  = time.Minute
)

// dutySoak plays failures of instances, links, disks and the provider that overlap, one
// instance at most being down, cut off or without its disk at a time.
type dutySoak struct {
	cluster  *cluster
	provider *fakeProvider
	rng      *rand.Rand
	failed   string // the instance that is down or cut off; empty for none
	disk     *wal.MemoryDisk
}

// step brings about one failure, or its end.
func (s *dutySoak) step() {
	cl := s.cluster
	switch s.rng.IntN(7) {
	case 0, 1:
		s.fail(func(name string) { s.disk = cl.controls[name].disk; cl.kill(name) })
	case 2:
		s.fail(func(name string) { s.disk = cl.controls[name].disk; cl.stop(name) })
	case 3:
		s.fail(func(name string) { s.disk = nil; cl.network.Isolate(name, cl.founderNames()...) })
	case 4:
		s.provider.set(func(p *fakeProvider) { p.silent = s.rng.IntN(2) == 0 })
	case 5:
		answers := []func(receivedCall) error{nil, nil, refuseAll, s.busy()}
		s.provider.set(func(p *fakeProvider) { p.answer = answers[s.rng.IntN(len(answers))] })
	case 6:
		stall := time.Duration(s.rng.IntN(6000)) * time.Millisecond
		s.provider.set(func(p *fakeProvider) {
			p.prepare = func(tenure.Tenure, meter.Window) {
				p.set(func(p *fakeProvider) { p.prepare = nil })
				interval.Sleep(context.Background(), stall)
			}
		})
	}
}

// busy returns an answer that says 429 now and then, to calls that are accepted.
func (s *dutySoak) busy() func(receivedCall) error {
	every := time.Duration(1+s.rng.IntN(4)) * time.Second
	return func(c receivedCall) error {
		if c.after/every%2 == 0 {
			return fault.New(fault.LimitExceeded, fault.MaybeRun, "status 429")
		}
		return nil
	}
}

// fail has one instance fail, most often the leader, if none has, and mends it otherwise.
func (s *dutySoak) fail(how func(name string)) {
	if s.failed != "" {
		s.mend()
		return
	}
	s.failed = s.cluster.founderNames()[s.rng.IntN(3)]
	if s.rng.IntN(3) > 0 {
		s.failed = s.cluster.awaitLeader()
	}
	how(s.failed)
}

// mend brings the failed instance back, now and then without its disk.
func (s *dutySoak) mend() {
	name := s.failed
	s.failed = ""
	switch {
	case s.cluster.controls[name] != nil:
		s.cluster.network.Heal(name)
	case s.rng.IntN(4) == 0:
		s.cluster.startWith(name, bootstrapJoin, wal.NewMemoryDisk())
		interval.Sleep(context.Background(), 10*time.Second) // in which it becomes a voter
	default:
		s.cluster.start(name, s.disk)
	}
}

// TestDutySoak checks the promises towards the provider under failures that overlap, and that
// afterwards each window is reported in time with all counts. SOAK_SEEDS=N plays seeds 1 to N.
func TestDutySoak(t *testing.T) {
	seeds := dutySoakSeeds
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			withDuties(t, func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
				s := &dutySoak{cluster: cl, provider: p, rng: rand.New(rand.NewPCG(uint64(seed+1), 6))}
				for time.Since(p.start) < dutySoakTime {
					interval.Sleep(context.Background(), time.Duration(200+s.rng.IntN(6000))*time.Millisecond)
					s.step()
				}
				if s.failed != "" {
					s.mend()
				}
				p.set(func(p *fakeProvider) { p.silent, p.answer, p.prepare = false, nil, nil })
				calm := time.Since(p.start)
				p.sleepUntil(calm + dutyCalmTime)
				reported := map[int64]receivedCall{}
				for _, c := range p.calls() {
					if _, known := reported[c.usage.Number]; !known {
						reported[c.usage.Number] = c
					}
				}
				first := firstWindow(p.start.Add(calm)) + 5 // the windows before may have begun during a failure
				for number := first; testSchedule.LateAt(number).Before(time.Now()); number++ {
					c, known := reported[number]
					if got := c.usage.Counts["crews"]; !known || got != 150 {
						t.Errorf("window %d: got %d requests (reported: %v), want 150", number-firstWindow(p.start), got, known)
					} else if due := testSchedule.LateAt(number).Sub(p.start); c.after > due {
						t.Errorf("window %d: reported at %v, want %v at the latest", number-firstWindow(p.start), c.after, due)
					}
				}
			})
		})
	}
}
