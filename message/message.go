// Package message holds the messages between the system's processes as plain
// structs. It decides nothing: packages that decide don't import it where
// they can do with less, and another front end or transport carries the same
// structs.
package message

import (
	"time"

	"endivedeck.example/change"
	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/order"
	"endivedeck.example/placement"
	"endivedeck.example/quorum"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

// Methods of calls.
const (
	MethodRenew    = "renew"    // entry and sidecar to control: Renew, Renewed
	MethodRelease  = "release"  // entry and sidecar to control: Release, Nothing
	MethodBegin    = "begin"    // entry to control: order.Begin, order.Begun
	MethodFence    = "fence"    // entry to sidecar: Fence, Fenced
	MethodEnding   = "ending"   // sidecar to control: order.Ending, Nothing
	MethodFinish   = "finish"   // entry to control: order.Finish, order.Finished
	MethodReport   = "report"   // sidecar to control: change.Report, Nothing
	MethodOperate  = "operate"  // control to control: Operate, Operated
	MethodQuorum   = "quorum"   // control to control: Hello, then quorum.Message one after another
	MethodFounding = "founding" // control to control: Nothing, Founding
	MethodJoin     = "join"     // control to control: Join, Nothing
	MethodGrants   = "grants"   // entry to sidecar: Watch, then Grant one after another
	MethodWork     = "work"     // entry to sidecar: Work, then Piece one after another
	MethodCancel   = "cancel"   // entry to sidecar: Cancel, Nothing
	MethodCall     = "call"     // entry to sidecar: ServiceCall, ServiceAnswer
	MethodNews     = "news"     // relay to control: Follow, then News one after another
	MethodLoads    = "loads"    // relay to relay: Loads one after another
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

type (
	// Nothing is an empty message.
	Nothing struct{}

	// Backend describes a backend server as its sidecar announces it.
	Backend struct {
		Name          string   `cbor:"1,keyasint" json:"name"` // instance of the sidecar
		Incarnation   string   `cbor:"2,keyasint" json:"incarnation"`
		Address       string   `cbor:"3,keyasint" json:"address"` // of the sidecar
		FailureDomain string   `cbor:"4,keyasint" json:"failureDomain"`
		Kind          string   `cbor:"5,keyasint" json:"kind"`
		Models        []string `cbor:"6,keyasint" json:"models,omitempty"`
		Service       string   `cbor:"7,keyasint" json:"service,omitempty"`
		Role          string   `cbor:"8,keyasint" json:"role,omitempty"`
		Leaving       bool     `cbor:"9,keyasint" json:"leaving"`
		Dedupe        bool     `cbor:"10,keyasint" json:"dedupe,omitempty"` // the service answers a repeated key from memory
	}

	// Renew asks for a lease and for what has changed. Wait bounds how long
	// the answer may be held back while nothing has.
	Renew struct {
		ID          string        `cbor:"1,keyasint"`
		Incarnation string        `cbor:"2,keyasint"`
		Kind        string        `cbor:"3,keyasint"`
		Revision    uint64        `cbor:"4,keyasint"` // in force at the holder
		Fleet       FleetVersion  `cbor:"5,keyasint"` // known to the holder
		Backend     *Backend      `cbor:"6,keyasint,omitempty"`
		Change      uint64        `cbor:"7,keyasint"` // number of the newest change known to a sidecar
		Wait        time.Duration `cbor:"8,keyasint"`
		Holds       bool          `cbor:"9,keyasint"` // the holder serves, or will once the answer is in force
		Tally       Tally         `cbor:"10,keyasint"`
	}

	// Tally adds up an engine's work since its sidecar's start.
	Tally struct {
		Heavy   float64 `cbor:"1,keyasint"` // engine time in seconds for long prompts
		Light   float64 `cbor:"2,keyasint"` // engine time in seconds for the rest
		Answers int     `cbor:"3,keyasint"`
		Late    int     `cbor:"4,keyasint"` // answers that missed their contract's limits
	}

	// Renewed answers Renew.
	Renewed struct {
		Term      uint64              `cbor:"1,keyasint"`
		Lease     time.Duration       `cbor:"2,keyasint"`
		Revision  uint64              `cbor:"3,keyasint"`
		Contracts []contract.Accepted `cbor:"4,keyasint,omitempty"`
		Marks     []Mark              `cbor:"5,keyasint,omitempty"`
		Fleet     *Fleet              `cbor:"6,keyasint,omitempty"`
		Change    *change.Change      `cbor:"7,keyasint,omitempty"`
		Entries   int                 `cbor:"8,keyasint"`            // entries that share the limits
		Place     int                 `cbor:"9,keyasint"`            // of this entry among them
		Parked    time.Duration       `cbor:"10,keyasint,omitempty"` // the lease counts from so long after the request was sent
	}

	// Mark tells a sidecar the revision of a customer's contract.
	Mark struct {
		Customer string `cbor:"1,keyasint"`
		Revision uint64 `cbor:"2,keyasint"`
	}

	// FleetVersion orders what a leader knows of the backend servers.
	FleetVersion struct {
		Term    uint64 `cbor:"1,keyasint"`
		Version uint64 `cbor:"2,keyasint"`
	}

	// Fleet is what a leader knows of the backend servers.
	Fleet struct {
		Version  FleetVersion `cbor:"1,keyasint"`
		Backends []Backend    `cbor:"2,keyasint"`
	}

	// Release gives a lease back.
	Release struct {
		ID          string `cbor:"1,keyasint"`
		Incarnation string `cbor:"2,keyasint"`
	}

	// Hello opens a stream of quorum messages.
	Hello struct {
		From quorum.Member `cbor:"1,keyasint"`
	}

	// Founding tells how far a control instance is.
	Founding struct {
		Instance string `cbor:"1,keyasint"`
		Founded  bool   `cbor:"2,keyasint"` // it has an identity
		Term     uint64 `cbor:"3,keyasint"` // 0 before it has voted or heard a leader
	}

	// Join asks to be taken in as a replica with a new identity.
	Join struct {
		Member quorum.Member `cbor:"1,keyasint"`
	}

	// Operate carries an operator's request to the leader.
	Operate struct {
		Kind         string               `cbor:"1,keyasint"`
		Contract     *contract.Change     `cbor:"2,keyasint,omitempty"`
		Announcement *change.Announcement `cbor:"3,keyasint,omitempty"`
		Customer     string               `cbor:"4,keyasint,omitempty"`
		Wait         time.Duration        `cbor:"5,keyasint"` // how long to wait for a contract to be in force
		Routes       *routes.Table        `cbor:"6,keyasint,omitempty"`
	}

	// Follow asks for what relays need to know, as long as the call lasts.
	Follow struct {
		Relay   string `cbor:"1,keyasint"`
		Version uint64 `cbor:"2,keyasint"` // of the routes that it has in force
		Address string `cbor:"3,keyasint"` // where other relays reach it
	}

	// Loads tells other relays what one has given to each backend server.
	Loads struct {
		Relay string           `cbor:"1,keyasint"` // its address
		List  []placement.Load `cbor:"2,keyasint"` // those without work are left out

		Readings []placement.CacheInsert `cbor:"3,keyasint,omitempty"` // since the message before
	}

	// News tells a relay what a control instance knows. Servers is always whole.
	News struct {
		Routes  *routes.Table        `cbor:"1,keyasint,omitempty"` // if they are newer than what was sent before
		Servers []roster.Observation `cbor:"2,keyasint"`
		Members []string             `cbor:"3,keyasint"` // addresses of the control instances
		Relays  []string             `cbor:"4,keyasint"` // addresses of the relays that follow this control instance
	}

	// Operated answers Operate.
	Operated struct {
		Error     *fault.Error        `cbor:"1,keyasint,omitempty" json:"error,omitempty"`
		State     string              `cbor:"2,keyasint" json:"state,omitempty"` // accepted or pending
		Contract  *contract.Accepted  `cbor:"3,keyasint,omitempty" json:"contract,omitempty"`
		Contracts []contract.Accepted `cbor:"4,keyasint,omitempty" json:"contracts,omitempty"`
		Change    *change.Change      `cbor:"5,keyasint,omitempty" json:"change,omitempty"`
		Changes   []change.Change     `cbor:"6,keyasint,omitempty" json:"changes,omitempty"`
		Status    *Status             `cbor:"7,keyasint,omitempty" json:"status,omitempty"`
		Behind    []string            `cbor:"8,keyasint,omitempty" json:"behind,omitempty"` // holders that a pending contract waits for
		Routes    *routes.Table       `cbor:"9,keyasint,omitempty" json:"-"`
	}

	// Status describes the system as its leader sees it.
	Status struct {
		Quorum   quorum.Status   `cbor:"1,keyasint" json:"quorum"`
		Revision uint64          `cbor:"2,keyasint" json:"revision"`
		Entries  int             `cbor:"3,keyasint" json:"entries"`
		Sidecars int             `cbor:"4,keyasint" json:"sidecars"`
		Backends []Backend       `cbor:"5,keyasint" json:"backends"`
		Changes  []change.Change `cbor:"6,keyasint" json:"changes"`
		Orders   int             `cbor:"7,keyasint" json:"orders"`
	}

	// Watch asks a sidecar for its grants.
	Watch struct {
		Entry string `cbor:"1,keyasint"`
	}

	// Grant allows an entry to send new work for a time, and tells how the
	// backend server is doing.
	Grant struct {
		Incarnation string        `cbor:"1,keyasint"`
		For         time.Duration `cbor:"2,keyasint"` // 0 when the backend server is leaving
		Models      []string      `cbor:"3,keyasint,omitempty"`
		Role        string        `cbor:"4,keyasint"`
		Load        Load          `cbor:"5,keyasint"`
		Cached      []uint64      `cbor:"6,keyasint,omitempty"` // prefix hashes newly in the cache
		Evicted     []uint64      `cbor:"7,keyasint,omitempty"`
		PieceTokens int           `cbor:"8,keyasint"` // tokens in a piece of the prefix cache
	}

	// Load is how busy a backend server is.
	Load struct {
		Running  int           `cbor:"1,keyasint"`
		Queued   int           `cbor:"2,keyasint"`
		Capacity int           `cbor:"3,keyasint"` // requests that run at once
		Free     int           `cbor:"4,keyasint"` // free pieces of KV memory
		Age      time.Duration `cbor:"5,keyasint"` // of the engine's report
	}

	// Work asks a sidecar for an answer, or to go on with one at Offset.
	Work struct {
		ID       string        `cbor:"1,keyasint"`
		Customer string        `cbor:"2,keyasint"`
		Revision uint64        `cbor:"3,keyasint"` // of the contract that it was admitted by
		Model    string        `cbor:"4,keyasint"`
		Prompt   string        `cbor:"5,keyasint"`
		Given    string        `cbor:"6,keyasint"` // tokens already given by another engine
		Offset   int           `cbor:"7,keyasint"` // tokens that the entry already has
		Most     int           `cbor:"8,keyasint"` // tokens at the most, with those given
		Priority int           `cbor:"9,keyasint"`
		Left     time.Duration `cbor:"10,keyasint"` // until the deadline
		Resume   bool          `cbor:"11,keyasint"` // go on with a stream that the sidecar keeps
		Todo     int           `cbor:"12,keyasint"` // prompt tokens that aren't believed to be cached
		First    time.Duration `cbor:"13,keyasint"` // the contract's limit on the first token; 0 for none
		Between  time.Duration `cbor:"14,keyasint"` // the contract's limit between tokens; 0 for none
	}

	// Cancel gives up an answer that nobody waits for.
	Cancel struct {
		ID string `cbor:"1,keyasint"`
	}

	// Piece is a part of an answer. Offset counts the tokens before it.
	Piece struct {
		ID     string `cbor:"1,keyasint"`
		Offset int    `cbor:"2,keyasint"`
		Tokens int    `cbor:"3,keyasint"`
		Text   string `cbor:"4,keyasint"`
		End    bool   `cbor:"5,keyasint"` // the answer is whole
		Reason string `cbor:"6,keyasint"` // why it ended: stop or length
		Prompt int    `cbor:"7,keyasint"` // tokens of the prompt, with End
	}

	// Fence asks whether an order was handed over to the plain service, and
	// has it never be if it wasn't.
	Fence struct {
		Order       uint64 `cbor:"1,keyasint"`
		Incarnation string `cbor:"2,keyasint"` // of the sidecar that was to hand it over
	}

	// Fenced answers Fence.
	Fenced struct {
		Handed bool `cbor:"1,keyasint"`
	}

	// ServiceCall asks a sidecar to call its plain service.
	ServiceCall struct {
		ID          string        `cbor:"1,keyasint"`
		Customer    string        `cbor:"2,keyasint"`
		Revision    uint64        `cbor:"3,keyasint"`
		Method      string        `cbor:"4,keyasint"`
		Path        string        `cbor:"5,keyasint"`
		ContentType string        `cbor:"6,keyasint"`
		Body        []byte        `cbor:"7,keyasint"`
		Order       uint64        `cbor:"8,keyasint"` // the intent of an order that may not be repeated; 0 for none
		Key         string        `cbor:"9,keyasint"` // the caller's idempotency key
		Left        time.Duration `cbor:"10,keyasint"`
		Again       bool          `cbor:"11,keyasint"` // an earlier attempt may have run; only for services that recognise the key
	}

	// ServiceAnswer is the plain service's answer.
	ServiceAnswer struct {
		ID     string         `cbor:"1,keyasint"`
		Answer order.Response `cbor:"2,keyasint"`
	}
)
