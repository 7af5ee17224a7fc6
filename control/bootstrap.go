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
	surveyInterval  = 100 * time.Millisecond
	queryTimeout    = time.Second
	joinInterval    = 300 * time.Millisecond
	founderIDSuffix = "#1" // suffix of a founder's identity; one with a lost disk gets a random suffix
	idSuffixBytes   = 6
)

// bootstrap chooses the replica identity of an instance, and bootstraps the
// replica group or joins it.
//
// The group is bootstrapped once, by all founders together, while none of them
// has voted or received a message from a leader. An instance with an empty data
// directory that finds a founder with a term above 0 has either lost its disk or
// is new. It creates a new identity and asks to join, because under its old
// identity it could vote twice in one term.
type bootstrap struct {
	control *Control
	state   quorum.PersistentState
	replica atomic.Pointer[quorum.Replica]

	mu          rank.Mutex
	identity    wal.Identity
	identitySet bool
}

func newBootstrap(c *Control, identity wal.Identity, identitySet bool, state quorum.PersistentState) *bootstrap {
	return &bootstrap{
		control:     c,
		state:       state,
		mu:          rank.New(rank.Control),
		identity:    identity,
		identitySet: identitySet,
	}
}

// run starts the replica and returns when the instance is a member of the
// group. An error ends the instance.
func (b *bootstrap) run(ctx context.Context) {
	if err := b.start(ctx); err != nil && ctx.Err() == nil {
		b.control.failed <- err
	}
}

// start waits for the other founders if the settings require it, and then starts
// the replica as a founder or by join.
func (b *bootstrap) start(ctx context.Context) error {
	if !b.hasIdentity() {
		join, err := b.shouldJoin(ctx)
		if err != nil {
			return err
		}
		if join {
			return b.join(ctx)
		}
		if err := b.saveIdentity(b.control.settings.Name + founderIDSuffix); err != nil {
			return err
		}
	}
	if !b.hasFounderIdentity() {
		return b.join(ctx)
	}
	if b.control.settings.BootstrapMode == bootstrapSurvey {
		if _, err := b.survey(ctx, true); err != nil {
			return err
		}
	}
	b.state.Snapshot.Members = b.founderMembers()
	if err := b.control.journal.Install(b.state.Snapshot, b.state.HardState, b.state.Entries); err != nil {
		return err
	}
	return b.control.startReplica(ctx, b.identity, b.state)
}

// shouldJoin reports whether an instance with an empty data directory joins an
// existing group instead of bootstrapping one.
func (b *bootstrap) shouldJoin(ctx context.Context) (bool, error) {
	if b.control.isObserver {
		return true, nil
	}
	switch b.control.settings.BootstrapMode {
	case bootstrapJoin:
		return true, nil
	case bootstrapNew:
		return !b.listedAsFounder(), nil
	}
	return b.survey(ctx, false)
}

// listedAsFounder reports whether the settings list this instance as a founder.
func (b *bootstrap) listedAsFounder() bool {
	for _, founder := range b.control.settings.Founders {
		if founder.Instance == b.control.settings.Name {
			return true
		}
	}
	return false
}

// survey polls the other founders until all have responded, and with
// wantIdentity until all have an identity. It returns true as soon as one of
// them reports a term above 0, which means that the group exists already.
func (b *bootstrap) survey(ctx context.Context, wantIdentity bool) (join bool, err error) {
	for {
		ready := true
		for _, other := range b.control.settings.Founders {
			if other.Instance == b.control.settings.Name {
				continue
			}
			response, err := b.queryFounder(ctx, other)
			if err == nil && response.Term > 0 {
				return true, nil
			}
			if err != nil || wantIdentity && !response.HasIdentity {
				ready = false
			}
		}
		if ready {
			return false, nil
		}
		if !interval.Sleep(ctx, surveyInterval) {
			return false, ctx.Err()
		}
	}
}

func (b *bootstrap) queryFounder(ctx context.Context, other Founder) (message.BootstrapState, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var response message.BootstrapState
	err := b.control.client.Call(ctx, other.Address, message.MethodBootstrapState, message.Empty{}, &response)
	return response, err
}

// handleBootstrapState serves message.MethodBootstrapState: it reports the
// bootstrap state of this instance to another founder.
func (b *bootstrap) handleBootstrapState(call *wire.ServerCall) {
	b.mu.Lock()
	response := message.BootstrapState{Instance: b.control.settings.Name, HasIdentity: b.identitySet}
	response.Term = b.state.HardState.Term
	b.mu.Unlock()
	if replica := b.replica.Load(); replica != nil {
		response.Term = max(response.Term, replica.Leadership().Term)
	}
	call.Reply(response)
}

// join creates a new identity where there is none, starts the replica and sends
// join requests until the replica finds itself in the list of members.
func (b *bootstrap) join(ctx context.Context) error {
	if !b.hasIdentity() {
		if err := b.saveIdentity(b.control.settings.Name + "#" + randomSuffix()); err != nil {
			return err
		}
	}
	b.control.log.WithField("identity", b.identity.ID).Warn("joining under a new identity")
	if err := b.control.startReplica(ctx, b.identity, b.state); err != nil {
		return err
	}
	for i := 0; ; i++ {
		if b.isMember() {
			return nil
		}
		b.requestJoin(ctx, i, b.self())
		if !interval.Sleep(ctx, joinInterval) {
			return ctx.Err()
		}
	}
}

// requestJoin sends a join request to the i-th of the known addresses, modulo
// their number, and once more to the leader if that instance names another one.
func (b *bootstrap) requestJoin(ctx context.Context, i int, member quorum.Member) {
	addresses := b.joinAddresses()
	address := addresses[i%len(addresses)]
	if address == b.control.settings.Listen {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	join := message.JoinRequest{Member: member}
	err := b.control.client.Call(ctx, address, message.MethodJoin, join, nil)
	if e := fault.FromError(err); e != nil && e.RedirectAddress != "" && e.RedirectAddress != b.control.settings.Listen {
		_ = b.control.client.Call(ctx, e.RedirectAddress, message.MethodJoin, join, nil)
	}
}

// joinAddresses returns the addresses to send join requests to: those of the
// founders and of the members that this replica knows of.
func (b *bootstrap) joinAddresses() []string {
	var addresses []string
	for _, founder := range b.control.settings.Founders {
		addresses = append(addresses, founder.Address)
	}
	if replica := b.replica.Load(); replica != nil {
		for _, m := range replica.Leadership().Status.Members {
			if !slices.Contains(addresses, m.Address) {
				addresses = append(addresses, m.Address)
			}
		}
	}
	return addresses
}

// self returns this instance as a member of the replica group.
func (b *bootstrap) self() quorum.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return quorum.Member{
		ID:       b.identity.ID,
		Instance: b.identity.Instance,
		Address:  b.control.settings.Listen,
		Observer: b.control.isObserver,
	}
}

// isMember reports whether this replica is in the list of members that it knows.
func (b *bootstrap) isMember() bool {
	status := b.replica.Load().Leadership().Status
	for _, m := range status.Members {
		if m.ID == b.identity.ID {
			return true
		}
	}
	return false
}

func (b *bootstrap) saveIdentity(id string) error {
	identity := wal.Identity{ID: id, Instance: b.control.settings.Name}
	if err := wal.WriteIdentity(b.control.disk, identity); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.identity = identity
	b.identitySet = true
	return nil
}

func (b *bootstrap) setReplica(replica *quorum.Replica) { b.replica.Store(replica) }

func (b *bootstrap) hasIdentity() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.identitySet
}

// hasFounderIdentity reports whether the identity is the one that a founder has
// until it loses its disk.
func (b *bootstrap) hasFounderIdentity() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.identity.ID == b.identity.Instance+founderIDSuffix
}

func (b *bootstrap) founderMembers() []quorum.Member {
	var members []quorum.Member
	for _, founder := range b.control.settings.Founders {
		members = append(members, quorum.Member{
			ID:       founder.Instance + founderIDSuffix,
			Instance: founder.Instance,
			Address:  founder.Address,
			Voter:    true,
		})
	}
	return members
}

func randomSuffix() string {
	var suffix [idSuffixBytes]byte
	_, _ = rand.Read(suffix[:])
	return hex.EncodeToString(suffix[:])
}
