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

// byteCounter is a state machine that adds up the lengths of its commands.
type byteCounter struct{ sum int }

// noPeers is the sender of a replica that has no peers.
type noPeers struct{}

func (c *byteCounter) Apply(_, _ uint64, command []byte) any {
	c.sum += len(command)
	return c.sum
}

func (c *byteCounter) Save() ([]byte, error) { return fmt.Append(nil, c.sum), nil }

func (c *byteCounter) Restore(text []byte) error {
	_, err := fmt.Sscan(string(text), &c.sum)
	return err
}

func (noPeers) Send(quorum.Member, quorum.Message) {}

// TestEmbed uses the replicated log, the lease table and the admission control as
// libraries, without a process of the system.
func TestEmbed(t *testing.T) {
	var got string
	logf := func(format string, args ...any) { got += fmt.Sprintf(format+"\n", args...) }

	path := t.TempDir()
	for run := range 2 {
		directory, err := wal.OpenDirectory(path)
		if err != nil {
			t.Fatal(err)
		}
		log, state, err := wal.Open(directory)
		if err != nil {
			t.Fatal(err)
		}
		state.Snapshot.Members = []quorum.Member{{ID: "only", Voter: true}}
		machine := &byteCounter{}
		replica, err := quorum.New(quorum.Options{
			ID: "only", Timing: quorum.DefaultTiming(), State: state, Storage: log, StateMachine: machine, Sender: noPeers{},
		})
		if err != nil {
			t.Fatal(err)
		}
		for !replica.Leadership().Leading {
			interval.Sleep(t.Context(), 10*time.Millisecond)
		}
		result, err := replica.Propose(context.Background(), []byte("three"))
		logf("run %d: result of the proposal %v, error %v", run+1, result.Value, err)
		replica.Stop()
		_ = log.Close()
		_ = directory.Close()
	}

	now := time.Unix(1_800_000_000, 0)
	table := lease.NewTable(lease.TTL)
	table.BecomeFirstLeader(now)
	table.Renew(now, lease.Holder{ID: "a", Kind: "reader", Revision: 7})
	logf("revision 7 in force: %v, revision 8: %v", table.InForce(now, 7), table.InForce(now, 8))
	logf("revision 8 in force after the lease expired: %v", table.InForce(now.Add(2*lease.TTL), 8))

	class := contract.Class{WholeAnswer: settings.Duration(time.Minute), Rate: 1, Burst: 2, Concurrency: 10}
	accepted := contract.Accepted{Contract: contract.Contract{Customer: "crews", Share: 1, Classes: map[string]contract.Class{"chat": class}}}
	controller := admission.New()
	for range 3 {
		_, err := controller.Admit(now, admission.Request{Accepted: accepted, Class: "chat"}, admission.FleetLoad{})
		logf("admitted: %v %s", err == nil, fault.KindOf(err))
	}
	golden.Check(t, "embed.golden", got)
}
