package deployment

import (
	"context"
	"fmt"
	"testing"
	"time"

	"endivedeck.example/admission"
	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/lease"
	"endivedeck.example/quorum"
	"endivedeck.example/settings"
	"endivedeck.example/wal"
)

// tally is an embedder's own state: it adds up the lengths of its commands.
type tally struct{ sum int }

// nobody is the network of a group of one.
type nobody struct{}

func (t *tally) Apply(_, _ uint64, command []byte) any {
	t.sum += len(command)
	return t.sum
}

func (t *tally) Save() ([]byte, error) { return fmt.Append(nil, t.sum), nil }

func (t *tally) Restore(text []byte) error {
	_, err := fmt.Sscan(string(text), &t.sum)
	return err
}

func (nobody) Send(quorum.Member, quorum.Message) {}

// TestEmbed embeds the log, the leases and the admission without any daemon.
func TestEmbed(t *testing.T) {
	var seen string
	note := func(format string, args ...any) { seen += fmt.Sprintf(format+"\n", args...) }

	path := t.TempDir()
	for run := range 2 {
		folder, err := wal.NewFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		j, state, err := wal.New(folder)
		if err != nil {
			t.Fatal(err)
		}
		state.Snapshot.Members = []quorum.Member{{ID: "only", Voter: true}}
		machine := &tally{}
		replica, err := quorum.New(quorum.Options{
			ID: "only", Timing: quorum.DefaultTiming(), State: state, Storage: j, StateMachine: machine, Sender: nobody{},
		})
		if err != nil {
			t.Fatal(err)
		}
		for !replica.Leadership().Leading {
			interval.Sleep(t.Context(), 10*time.Millisecond)
		}
		result, err := replica.Propose(context.Background(), []byte("three"))
		note("run %d: the log gives %v, error %v", run+1, result.Value, err)
		replica.Stop()
		_ = j.Close()
		_ = folder.Close()
	}

	now := time.Unix(1_800_000_000, 0)
	table := lease.NewTable(lease.TTL)
	table.BecomeFirstLeader(now)
	table.Renew(now, lease.Holder{ID: "a", Kind: "reader", Revision: 7})
	note("revision 7 in force: %v, revision 8: %v", table.InForce(now, 7), table.InForce(now, 8))
	note("revision 8 once the lease has run out: %v", table.InForce(now.Add(2*lease.TTL), 8))

	class := contract.Class{WholeAnswer: settings.Duration(time.Minute), Rate: 1, Burst: 2, Concurrency: 10}
	accepted := contract.Accepted{Contract: contract.Contract{Customer: "crews", Share: 1, Classes: map[string]contract.Class{"chat": class}}}
	limits := admission.New()
	for range 3 {
		_, err := limits.Admit(now, admission.Request{Accepted: accepted, Class: "chat"}, admission.FleetLoad{})
		note("admitted: %v %s", err == nil, fault.Of(err))
	}
	golden.Check(t, "embed.golden", seen)
}
