package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync/atomic"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/quorum"
	"endivedeck.example/rank"
	"endivedeck.example/wal"
	"endivedeck.example/wire"
)

const (
	foundingPause = 100 * time.Millisecond
	foundingAsk   = time.Second
	joinPause     = 300 * time.Millisecond
	founderSuffix = "#1"
	nonceBytes    = 6
)

// founding decides under which identity an instance takes part.
//
// The group is founded once, by all founders together, while none of them has
// ever voted or heard a leader. An instance that finds a founder further on
// than that has lost its disk, or is new: it takes an identity that was never
// used and asks to join, because under its old one it could vote twice.
type founding struct {
	control *Control
	state   quorum.PersistentState
	replica atomic.Pointer[quorum.Replica]

	mu       rank.Mutex
	identity wal.Identity
	founded  bool
}

func newFounding(c *Control, identity wal.Identity, founded bool, state quorum.PersistentState) *founding {
	return &founding{
		control:  c,
		state:    state,
		mu:       rank.New(rank.Control),
		identity: identity,
		founded:  founded,
	}
}

// run ends once the instance takes part.
func (f *founding) run(ctx context.Context) {
	if err := f.takePart(ctx); err != nil && ctx.Err() == nil {
		f.control.failed <- err
	}
}

func (f *founding) takePart(ctx context.Context) error {
	if !f.known() {
		join, err := f.mustJoin(ctx)
		if err != nil {
			return err
		}
		if join {
			return f.join(ctx)
		}
		if err := f.adopt(f.control.settings.Name + founderSuffix); err != nil {
			return err
		}
	}
	if !f.isFounder() {
		return f.join(ctx)
	}
	if f.control.settings.BootstrapMode == foundSurvey {
		if _, err := f.survey(ctx, true); err != nil {
			return err
		}
	}
	f.state.Snapshot.Members = f.founders()
	if err := f.control.journal.Install(f.state.Snapshot, f.state.HardState, f.state.Entries); err != nil {
		return err
	}
	return f.control.startReplica(ctx, f.identity, f.state)
}

// mustJoin reports whether an instance with an empty data folder joins a group
// that is there, in place of founding it.
func (f *founding) mustJoin(ctx context.Context) (bool, error) {
	if f.control.observes {
		return true, nil
	}
	switch f.control.settings.BootstrapMode {
	case foundJoin:
		return true, nil
	case foundAtOnce:
		return !f.isListed(), nil
	}
	return f.survey(ctx, false)
}

func (f *founding) isListed() bool {
	for _, founder := range f.control.settings.Founders {
		if founder.Instance == f.control.settings.Name {
			return true
		}
	}
	return false
}

// survey asks the other founders until all have answered that they are as
// far as is needed, and reports whether one is so far on that this instance
// must join.
func (f *founding) survey(ctx context.Context, wantFounded bool) (join bool, err error) {
	for {
		ready := true
		for _, other := range f.control.settings.Founders {
			if other.Instance == f.control.settings.Name {
				continue
			}
			answer, err := f.ask(ctx, other)
			if err == nil && answer.Term > 0 {
				return true, nil
			}
			if err != nil || wantFounded && !answer.Founded {
				ready = false
			}
		}
		if ready {
			return false, nil
		}
		if !interval.Sleep(ctx, foundingPause) {
			return false, ctx.Err()
		}
	}
}

func (f *founding) ask(ctx context.Context, other Founder) (message.Founding, error) {
	ctx, cancel := context.WithTimeout(ctx, foundingAsk)
	defer cancel()
	var answer message.Founding
	err := f.control.client.Ask(ctx, other.Address, message.MethodFounding, message.Nothing{}, &answer)
	return answer, err
}

// answer tells another founder how far this instance is.
func (f *founding) answer(x *wire.Exchange) {
	f.mu.Lock()
	answer := message.Founding{Instance: f.control.settings.Name, Founded: f.founded}
	answer.Term = f.state.HardState.Term
	f.mu.Unlock()
	if replica := f.replica.Load(); replica != nil {
		answer.Term = max(answer.Term, replica.Leadership().Term)
	}
	x.Reply(answer)
}

// join takes a new identity and asks to be taken in until a leader has it.
func (f *founding) join(ctx context.Context) error {
	if !f.known() {
		if err := f.adopt(f.control.settings.Name + "#" + nonce()); err != nil {
			return err
		}
	}
	f.control.log.WithField("identity", f.identity.ID).Warn("joining under a new identity")
	if err := f.control.startReplica(ctx, f.identity, f.state); err != nil {
		return err
	}
	for i := 0; ; i++ {
		if f.taken() {
			return nil
		}
		f.askToJoin(ctx, i, f.member())
		if !interval.Sleep(ctx, joinPause) {
			return ctx.Err()
		}
	}
}

func (f *founding) askToJoin(ctx context.Context, i int, member quorum.Member) {
	known := f.addresses()
	address := known[i%len(known)]
	if address == f.control.settings.Listen {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, foundingAsk)
	defer cancel()
	join := message.Join{Member: member}
	err := f.control.client.Ask(ctx, address, message.MethodJoin, join, nil)
	if e := fault.From(err); e != nil && e.Elsewhere != "" && e.Elsewhere != f.control.settings.Listen {
		_ = f.control.client.Ask(ctx, e.Elsewhere, message.MethodJoin, join, nil)
	}
}

// addresses returns where others may be: the founders, and the members that
// this replica knows of.
func (f *founding) addresses() []string {
	var known []string
	for _, founder := range f.control.settings.Founders {
		known = append(known, founder.Address)
	}
	if replica := f.replica.Load(); replica != nil {
		for _, m := range replica.Leadership().Status.Members {
			if !slices.Contains(known, m.Address) {
				known = append(known, m.Address)
			}
		}
	}
	return known
}

// member returns this instance as a replica.
func (f *founding) member() quorum.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return quorum.Member{
		ID:       f.identity.ID,
		Instance: f.identity.Instance,
		Address:  f.control.settings.Listen,
		Observer: f.control.observes,
	}
}

// taken reports whether this replica finds itself among the members.
func (f *founding) taken() bool {
	status := f.replica.Load().Leadership().Status
	for _, m := range status.Members {
		if m.ID == f.identity.ID {
			return true
		}
	}
	return false
}

func (f *founding) adopt(id string) error {
	identity := wal.Identity{ID: id, Instance: f.control.settings.Name}
	if err := wal.WriteIdentity(f.control.disk, identity); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.identity = identity
	f.founded = true
	return nil
}

func (f *founding) began(replica *quorum.Replica) { f.replica.Store(replica) }

func (f *founding) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.founded
}

func (f *founding) isFounder() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.identity.ID == f.identity.Instance+founderSuffix
}

func (f *founding) founders() []quorum.Member {
	var members []quorum.Member
	for _, founder := range f.control.settings.Founders {
		members = append(members, quorum.Member{
			ID:       founder.Instance + founderSuffix,
			Instance: founder.Instance,
			Address:  founder.Address,
			Voter:    true,
		})
	}
	return members
}

func nonce() string {
	var text [nonceBytes]byte
	_, _ = rand.Read(text[:])
	return hex.EncodeToString(text[:])
}
