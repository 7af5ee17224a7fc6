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
	// direct sends messages to replicas in the same process.
	direct struct {
		mu       sync.Mutex
		replicas map[string]*quorum.Replica
	}

	// counter is a machine that counts commands.
	counter struct{ count int }

	// proposer proposes commands one after another.
	proposer struct {
		replica *quorum.Replica
		count   int
		took    []time.Duration
		err     error
		ended   *sync.WaitGroup
	}
)

var (
	_ quorum.Sender       = (*direct)(nil)
	_ quorum.StateMachine = (*counter)(nil)
)

func (d *direct) Send(to quorum.Member, m quorum.Message) {
	d.mu.Lock()
	r := d.replicas[to.ID]
	d.mu.Unlock()
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
	defer p.ended.Done()
	data := make([]byte, 200)
	for range p.count {
		begun := time.Now()
		if _, err := p.replica.Propose(context.Background(), data); err != nil {
			p.err = err
			return
		}
		p.took = append(p.took, time.Since(begun))
	}
}

// group starts replicas over real folders and returns the leader.
func group(b *testing.B, size int) (leader *quorum.Replica, stop func()) {
	b.Helper()
	d := &direct{replicas: map[string]*quorum.Replica{}}
	var members []quorum.Member
	for i := range size {
		members = append(members, quorum.Member{ID: fmt.Sprint("r", i), Voter: true})
	}
	for i, m := range members {
		folder, err := wal.NewFolder(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		j, state, err := wal.New(folder)
		if err != nil {
			b.Fatal(err)
		}
		state.Snapshot.Members = members
		r, err := quorum.New(quorum.Options{
			ID: m.ID, Timing: quorum.DefaultTiming(), State: state, Storage: j, StateMachine: &counter{}, Sender: d, Seed: uint64(i),
		})
		if err != nil {
			b.Fatal(err)
		}
		d.mu.Lock()
		d.replicas[m.ID] = r
		d.mu.Unlock()
	}
	for leader == nil {
		interval.Sleep(b.Context(), 10*time.Millisecond)
		for _, r := range d.replicas {
			if r.Leadership().Leading {
				leader = r
			}
		}
	}
	return leader, func() {
		for _, r := range d.replicas {
			r.Stop()
		}
	}
}

// BenchmarkCommit measures commits with a sync each (one proposer) and with
// many proposers, whose commands share syncs.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, proposers := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("replicas=%d/proposers=%d", size, proposers), func(b *testing.B) {
				leader, stop := group(b, size)
				defer stop()
				var ended sync.WaitGroup
				all := make([]*proposer, proposers)
				ended.Add(proposers)
				begun := time.Now()
				b.ResetTimer()
				for i := range all {
					all[i] = &proposer{replica: leader, count: max(1, b.N/proposers), ended: &ended}
					go all[i].run()
				}
				ended.Wait()
				seconds := time.Since(begun).Seconds()
				var took []time.Duration
				for _, p := range all {
					if p.err != nil {
						b.Fatal(p.err)
					}
					took = append(took, p.took...)
				}
				slices.Sort(took)
				b.ReportMetric(float64(len(took))/seconds, "commits/s")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			})
		}
	}
}

// BenchmarkRestart measures reading a log of 100,000 entries back.
func BenchmarkRestart(b *testing.B) {
	folder, err := wal.NewFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	j, _, err := wal.New(folder)
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
		_, state, err := wal.New(folder)
		if err != nil || len(state.Entries) != 100_000 {
			b.Fatalf("got %d entries, %v", len(state.Entries), err)
		}
	}
}
