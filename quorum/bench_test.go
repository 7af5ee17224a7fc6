package quorum_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"endivedeck.example/interval"
	"endivedeck.example/quorum"
	"endivedeck.example/wal"
)

type (
	// localSender delivers messages to replicas in the same process.
	localSender struct {
		mu       sync.Mutex
		replicas map[string]*quorum.Replica
	}

	// counter is a state machine that counts commands.
	counter struct{ count int }

	// proposer proposes commands one after another.
	proposer struct {
		replica   *quorum.Replica
		count     int
		latencies []time.Duration
		err       error
		done      *sync.WaitGroup
	}
)

var (
	_ quorum.Sender       = (*localSender)(nil)
	_ quorum.StateMachine = (*counter)(nil)
)

func (s *localSender) Send(to quorum.Member, m quorum.Message) {
	s.mu.Lock()
	r := s.replicas[to.ID]
	s.mu.Unlock()
	if r != nil {
		r.Deliver(m)
	}
}

func (c *counter) Apply(uint64, uint64, []byte) any {
	c.count++
	return c.count
}

func (c *counter) Save() ([]byte, error) { return nil, nil }
func (c *counter) Restore([]byte) error  { return nil }

func (p *proposer) run() {
	defer p.done.Done()
	data := make([]byte, 200)
	for range p.count {
		start := time.Now()
		if _, err := p.replica.Propose(context.Background(), data); err != nil {
			p.err = err
			return
		}
		p.latencies = append(p.latencies, time.Since(start))
	}
}

// startGroup starts replicas with logs on the file system and returns the leader.
func startGroup(b *testing.B, size int) (leader *quorum.Replica, stop func()) {
	b.Helper()
	sender := &localSender{replicas: map[string]*quorum.Replica{}}
	var members []quorum.Member
	for i := range size {
		members = append(members, quorum.Member{ID: fmt.Sprint("r", i), Voter: true})
	}
	for i, m := range members {
		folder, err := wal.OpenDirectory(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		j, state, err := wal.Open(folder)
		if err != nil {
			b.Fatal(err)
		}
		state.Snapshot.Members = members
		r, err := quorum.New(quorum.Options{
			ID: m.ID, Timing: quorum.DefaultTiming(), State: state, Storage: j, StateMachine: &counter{}, Sender: sender, Seed: uint64(i),
		})
		if err != nil {
			b.Fatal(err)
		}
		sender.mu.Lock()
		sender.replicas[m.ID] = r
		sender.mu.Unlock()
	}
	for leader == nil {
		interval.Sleep(b.Context(), 10*time.Millisecond)
		for _, r := range sender.replicas {
			if r.Leadership().Leading {
				leader = r
			}
		}
	}
	return leader, func() {
		for _, r := range sender.replicas {
			r.Stop()
		}
	}
}

// BenchmarkCommit measures the rate and the latency of commits. With one proposer
// each commit needs its own sync; with many, commands share syncs.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, proposers := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("replicas=%d/proposers=%d", size, proposers), func(b *testing.B) {
				leader, stop := startGroup(b, size)
				defer stop()
				var done sync.WaitGroup
				workers := make([]*proposer, proposers)
				done.Add(proposers)
				start := time.Now()
				b.ResetTimer()
				for i := range workers {
					workers[i] = &proposer{replica: leader, count: max(1, b.N/proposers), done: &done}
					go workers[i].run()
				}
				done.Wait()
				seconds := time.Since(start).Seconds()
				var latencies []time.Duration
				for _, p := range workers {
					if p.err != nil {
						b.Fatal(p.err)
					}
					latencies = append(latencies, p.latencies...)
				}
				slices.Sort(latencies)
				b.ReportMetric(float64(len(latencies))/seconds, "commits/s")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
			})
		}
	}
}

// BenchmarkRestart measures the time to read a log of 100,000 entries at a start.
func BenchmarkRestart(b *testing.B) {
	folder, err := wal.OpenDirectory(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	j, _, err := wal.Open(folder)
	if err != nil {
		b.Fatal(err)
	}
	var batch []quorum.Entry
	for i := range uint64(100_000) {
		batch = append(batch, quorum.Entry{Index: i + 1, Term: 1, Data: make([]byte, 200)})
		if len(batch) == 100 {
			if err := j.Append(nil, batch); err != nil {
				b.Fatal(err)
			}
			batch = nil
		}
	}
	for b.Loop() {
		_, state, err := wal.Open(folder)
		if err != nil || len(state.Entries) != 100_000 {
			b.Fatalf("got %d entries, %v", len(state.Entries), err)
		}
	}
}
