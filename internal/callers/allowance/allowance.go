// Package allowance divides the memory that a process may hold for its callers.
//
// A caller that nobody controls can make a process hold memory: it sends many heads or
// bodies and stops before their end, or doesn't read its answers. All that is held for
// callers is charged to one Budget, at what it costs and before it is allocated. When
// the budget is full, the connection gives way that has kept the most memory waiting for
// its caller, so that callers who send and read are served.
//
// The package only decides. It is told the time, and asks a Holder to let go.
package allowance

import (
	"cmp"
	"slices"
	"time"

	"endivedeck.example/rank"
)

// What is held for a caller costs this many bytes.
const (
	ConnectionBytes = 24 << 10 // a connection: its buffers and the stack of its goroutine
	LineBytes       = 320      // a line of a head, in addition to its text
	TextFactor      = 4        // a byte of a head, which is read, kept and sent on
)

const (
	callerShare  = 0.4  // of the memory of a process, for all callers together
	peerShare    = 0.2  // of that memory, for all other processes of the system
	reserveShare = 0.25 // of the budget, for accounts that hold at most smallBytes
	addressShare = 0.75 // of the budget, for the callers of one address
	roomShare    = 0.03 // of the budget, that is made free beyond what is needed
	smallBytes   = 96 << 10

	minLag  = 100 * time.Millisecond // a connection that lags less doesn't give way
	minRate = 16 << 10               // bytes per second with which a caller doesn't lag
)

// Limits of the budget.
const (
	Memory  Limit = "memory"  // what all callers may hold
	Address Limit = "address" // what the callers of one address may hold
	Team    Limit = "team"    // what the callers of one team may hold
	Slots   Limit = "slots"   // connections that may be open
)

type (
	// Limit names a limit that a caller met.
	Limit string

	// Limits are the limits of a Budget, in bytes.
	Limits struct {
		Bytes   int64 // held for all callers together
		Reserve int64 // the part of Bytes that is for small accounts
		Address int64 // held for the callers of one address, and for those of one team
	}

	// Holder holds memory for one caller.
	Holder interface {
		// GiveWay makes the holder release its account soon. It must not wait.
		GiveWay()
	}

	// Watcher is told which callers met a limit.
	Watcher interface {
		// Refused reports that a caller was refused, or was made to give way.
		Refused(address string, limit Limit, gaveWay bool)
	}

	// Budget is the memory of one process for its callers. Create it with New.
	Budget struct {
		limits  Limits
		watcher Watcher // nil for none

		mu       rank.Mutex
		held     int64
		accounts map[*Account]bool
		byAddr   map[string]int64
		byTeam   map[string]int64
		released chan struct{} // closed at the next release; nil if nobody waits for it
	}

	// Account is what is held for one connection.
	Account struct {
		budget  *Budget
		holder  Holder
		address string
		team    string // empty while it isn't known
		held    int64
		lag     time.Duration // by which the caller is behind minRate, up to since
		since   time.Time     // since when the process waits for the caller; zero if it doesn't
		leaving bool
		closed  bool
	}

	// Answer is the decision about a request for memory.
	Answer struct {
		Granted  bool
		Limit    Limit           // that stands against it, unless Granted
		GiveWay  []Holder        // that must be told to give way
		Released <-chan struct{} // closed when memory has been released
	}
)

// For returns the limits for the callers of a process that may use the given memory, in
// bytes.
func For(memory int64) Limits { return limitsOf(callerShare * float64(memory)) }

// ForPeers returns the limits for the other processes of the system that send to such a
// process. Callers take nothing from them.
func ForPeers(memory int64) Limits { return limitsOf(peerShare * float64(memory)) }

func limitsOf(share float64) Limits {
	bytes := int64(share)
	return Limits{
		Bytes:   bytes,
		Reserve: int64(reserveShare * float64(bytes)),
		Address: int64(addressShare * float64(bytes)),
	}
}

// New returns a budget of which nothing is held.
func New(limits Limits, watcher Watcher) *Budget {
	return &Budget{
		limits:   limits,
		watcher:  watcher,
		mu:       rank.New(rank.Allowance),
		accounts: map[*Account]bool{},
		byAddr:   map[string]int64{},
		byTeam:   map[string]int64{},
	}
}

// Open returns an account that holds nothing, for a caller at an address, or of a name.
func (b *Budget) Open(address string, holder Holder) *Account {
	a := &Account{budget: b, holder: holder, address: address}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = true
	return a
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Largest returns the most that one account can get.
func (b *Budget) Largest() int64 { return min(b.limits.Address, b.limits.Bytes-b.limits.Reserve) }

// Join notes the team of the account's caller; the empty one is none. What the account
// holds stays.
func (a *Account) Join(team string) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.team == team {
		return
	}
	addTo(b.byTeam, a.team, -a.held)
	a.team = team
	addTo(b.byTeam, team, a.held)
}

// Grow asks for n more bytes. If they aren't granted, it names those who must give way;
// the caller may ask again when some memory has been released. An account that was told
// to give way gets nothing.
func (a *Account) Grow(now time.Time, n int64) Answer {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.leaving {
		return Answer{Limit: Memory}
	}
	memory := b.held + n - b.memoryLimit(a.held+n)
	address := b.byAddr[a.address] + n - b.limits.Address
	team := b.byTeam[a.team] + n - b.limits.Address // of no team, nothing is counted
	answer := Answer{Limit: Memory}
	switch {
	case address > 0:
		answer.Limit = Address
		answer.GiveWay = b.choose(now, a, address, Address)
	case team > 0:
		answer.Limit = Team
		answer.GiveWay = b.choose(now, a, team, Team)
	case memory <= 0:
		b.add(a, n)
		return Answer{Granted: true}
	default:
		answer.GiveWay = b.choose(now, a, memory, Memory)
	}
	if b.released == nil {
		b.released = make(chan struct{})
	}
	answer.Released = b.released
	return answer
}

// Shrink gives n bytes back.
func (a *Account) Shrink(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.closed {
		b.add(a, -min(n, a.held))
	}
}

// Close gives everything back. Further calls do nothing.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	b.add(a, -a.held)
	a.closed = true
	delete(b.accounts, a)
}

// Await notes that the process waits for the caller from now on.
func (a *Account) Await(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.since.IsZero() {
		a.since = now
	}
}

// Restart is like Await, for a caller that begins something new: it doesn't lag.
func (a *Account) Restart(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.since, a.lag = now, 0
}

// Moved notes that n bytes came from the caller or went to it.
func (a *Account) Moved(now time.Time, n int) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.lag = max(a.lagAt(now)-time.Duration(n)*time.Second/minRate, 0)
	if !a.since.IsZero() {
		a.since = now
	}
}

// Rest notes that the process doesn't wait for the caller any more.
func (a *Account) Rest(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.lag = a.lagAt(now)
	a.since = time.Time{}
}

// Stay takes back that the account was told to give way: its caller has gone on.
func (a *Account) Stay() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.leaving = false
}

// Slowest returns at most n of the holders of the given accounts, whose connections must
// be closed to let others in: those that have kept the most memory waiting.
func (b *Budget) Slowest(now time.Time, accounts []*Account, n int) []Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := slices.DeleteFunc(accounts, func(a *Account) bool { return !a.mayGiveWay(now) })
	sortByDebt(now, list)
	holders := make([]Holder, 0, n)
	for _, a := range list[:min(len(list), n)] {
		holders = append(holders, b.leave(a, Slots))
	}
	return holders
}

// memoryLimit returns how much all callers may hold if an account wants to hold the given
// number of bytes.
func (b *Budget) memoryLimit(bytes int64) int64 {
	if bytes <= smallBytes {
		return b.limits.Bytes
	}
	return b.limits.Bytes - b.limits.Reserve
}

// add changes what an account holds. b.mu must be locked.
func (b *Budget) add(a *Account, n int64) {
	a.held += n
	b.held += n
	addTo(b.byAddr, a.address, n)
	addTo(b.byTeam, a.team, n)
	if n < 0 && b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// addTo adds n bytes to those of a group; the empty name is none.
func addTo(groups map[string]int64, name string, n int64) {
	if name == "" {
		return
	}
	groups[name] += n
	if groups[name] == 0 {
		delete(groups, name)
	}
}

// choose returns the accounts that must give way so that an account gets the bytes that
// it lacks under a limit. One that has kept less waiting than the asker doesn't. b.mu must
// be locked.
func (b *Budget) choose(now time.Time, asker *Account, lacking int64, limit Limit) []Holder {
	debt := asker.debt(now)
	var list []*Account
	for a := range b.accounts {
		switch {
		case a == asker, !a.shares(limit, asker):
		case a.leaving:
			lacking -= a.held
		case a.mayGiveWay(now) && a.debt(now) > debt:
			list = append(list, a)
		}
	}
	if lacking <= 0 {
		return nil
	}
	sortByDebt(now, list)
	lacking += int64(roomShare * float64(b.limits.Bytes))
	var holders []Holder
	for _, a := range list {
		if lacking <= 0 {
			break
		}
		lacking -= a.held
		holders = append(holders, b.leave(a, limit))
	}
	return holders
}

// shares reports whether two accounts count under the same limit.
func (a *Account) shares(limit Limit, other *Account) bool {
	switch limit {
	case Address:
		return a.address == other.address
	case Team:
		return a.team == other.team
	}
	return true
}

// leave marks an account as leaving and returns its holder. b.mu must be locked.
func (b *Budget) leave(a *Account, limit Limit) Holder {
	a.leaving = true
	if b.watcher != nil {
		b.watcher.Refused(a.address, limit, true)
	}
	return a.holder
}

// mayGiveWay reports whether the account is waiting for a caller that lags.
func (a *Account) mayGiveWay(now time.Time) bool {
	return !a.leaving && !a.closed && !a.since.IsZero() && a.lagAt(now) >= minLag
}

func (a *Account) lagAt(now time.Time) time.Duration {
	if a.since.IsZero() {
		return a.lag
	}
	return a.lag + max(now.Sub(a.since), 0)
}

// debt is what the account has kept waiting, in byte seconds.
func (a *Account) debt(now time.Time) float64 { return float64(a.held) * a.lagAt(now).Seconds() }

func sortByDebt(now time.Time, list []*Account) {
	slices.SortFunc(list, func(a, b *Account) int { return cmp.Compare(b.debt(now), a.debt(now)) })
}
