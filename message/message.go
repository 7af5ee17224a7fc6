// Package message defines the messages that the processes of the system
// exchange, as plain structs without logic. They don't depend on a transport
// or a front end. Packages that contain decision logic avoid importing this
// one where they can.
package message

import (
	"time"

	"endivedeck.example/change"
	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/internal/prompts/quarantine"
	"endivedeck.example/internal/teams/share"
	"endivedeck.example/internal/usage/meter"
	"endivedeck.example/order"
	"endivedeck.example/placement"
	"endivedeck.example/quorum"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
	"endivedeck.example/settings"
)

// Methods of calls, with the types of request and response.
const (
	MethodRenew          = "renew"    // entry and sidecar to control: RenewRequest, RenewResponse
	MethodRelease        = "release"  // entry and sidecar to control: ReleaseRequest, Empty
	MethodBegin          = "begin"    // entry to control: order.Begin, order.BeginResult
	MethodFence          = "fence"    // entry to sidecar: FenceRequest, FenceResponse
	MethodShutdown       = "ending"   // sidecar to control: order.SidecarShutdown, Empty
	MethodFinish         = "finish"   // entry to control: order.Finish, order.FinishResult
	MethodReport         = "report"   // sidecar to control: change.Report, Empty
	MethodOperate        = "operate"  // control to control: OperateRequest, OperateResponse
	MethodQuorum         = "quorum"   // control to control: QuorumHello, stream of quorum.Message
	MethodBootstrapState = "founding" // control to control: Empty, BootstrapState
	MethodJoin           = "join"     // control to control: JoinRequest, Empty
	MethodGrants         = "grants"   // entry to sidecar: GrantsRequest, stream of Grant
	MethodGenerate       = "work"     // entry to sidecar: GenerateRequest, stream of Chunk
	MethodCancel         = "cancel"   // entry to sidecar: CancelRequest, Empty
	MethodServiceCall    = "call"     // entry to sidecar: ServiceCall, ServiceResponse
	MethodUpdates        = "news"     // relay to control: SubscribeRequest and stream of RoutesInForce, stream of RelayUpdate
	MethodLoads          = "loads"    // relay to relay: stream of RelayLoads
	MethodUsage          = "usage"    // relay to control: UsageHello, stream of UsageReport
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// States of usage windows.
const (
	WindowOpen   = "open"   // relays still count, or their counts are awaited
	WindowClosed = "closed" // the counts are final, and not known to be reported
)

type (
	// Empty is an empty message.
	Empty struct{}

	// Backend describes a backend server. Its sidecar announces it.
	Backend struct {
		Name          string   `cbor:"1,keyasint" json:"name"` // instance that the sidecar runs on
		Incarnation   string   `cbor:"2,keyasint" json:"incarnation"`
		Address       string   `cbor:"3,keyasint" json:"address"` // of the sidecar
		FailureDomain string   `cbor:"4,keyasint" json:"failureDomain"`
		Kind          string   `cbor:"5,keyasint" json:"kind"`
		Models        []string `cbor:"6,keyasint" json:"models,omitempty"`
		Service       string   `cbor:"7,keyasint" json:"service,omitempty"`
		Role          string   `cbor:"8,keyasint" json:"role,omitempty"`
		Draining      bool     `cbor:"9,keyasint" json:"leaving"`           // it accepts no new requests
		Dedupe        bool     `cbor:"10,keyasint" json:"dedupe,omitempty"` // the service repeats its response to a repeated idempotency key
	}

	// RenewRequest is a long poll that renews a holder's configuration lease and
	// requests updates. The response comes as soon as there is an update, or
	// after MaxWait.
	RenewRequest struct {
		ID           string        `cbor:"1,keyasint"` // instance of the holder
		Incarnation  string        `cbor:"2,keyasint"`
		Kind         string        `cbor:"3,keyasint"` // role of the process: entry or sidecar
		Revision     uint64        `cbor:"4,keyasint"` // configuration revision in force at the holder
		FleetVersion FleetVersion  `cbor:"5,keyasint"` // newest that an entry has received
		Backend      *Backend      `cbor:"6,keyasint,omitempty"`
		ChangeToken  uint64        `cbor:"7,keyasint"` // fencing token of the newest change that a sidecar has received
		MaxWait      time.Duration `cbor:"8,keyasint"` // longest wait for an update
		NeedsLease   bool          `cbor:"9,keyasint"` // the holder serves, or will once it has applied the response
		Totals       EngineTotals  `cbor:"10,keyasint"`
	}

	// EngineTotals counts the work of an engine since the start of its sidecar.
	EngineTotals struct {
		LongPrompts float64 `cbor:"1,keyasint"` // engine time for long prompts, in seconds
		Other       float64 `cbor:"2,keyasint"` // engine time for short prompts and all decoding, in seconds
		Answers     int     `cbor:"3,keyasint"` // completed answers
		Missed      int     `cbor:"4,keyasint"` // of them, those that missed a latency limit of their contract
	}

	// RenewResponse grants a lease and contains the updates. An entry gets the
	// contracts, the fleet and its share of the limits, a sidecar the contract
	// revisions and the change.
	RenewResponse struct {
		Term              uint64              `cbor:"1,keyasint"` // of the leader
		LeaseTTL          time.Duration       `cbor:"2,keyasint"` // duration of the lease
		Revision          uint64              `cbor:"3,keyasint"` // newest configuration revision
		Contracts         []contract.Accepted `cbor:"4,keyasint,omitempty"`
		ContractRevisions []ContractRevision  `cbor:"5,keyasint,omitempty"`
		Fleet             *Fleet              `cbor:"6,keyasint,omitempty"`
		Change            *change.Change      `cbor:"7,keyasint,omitempty"`  // newest change of the backend server
		EntryCount        int                 `cbor:"8,keyasint"`            // number of entries that share the limits
		EntryIndex        int                 `cbor:"9,keyasint"`            // index of this entry among them
		LeaseDelay        time.Duration       `cbor:"10,keyasint,omitempty"` // from the request to the start of the lease
	}

	// ContractRevision is the newest revision of a customer's contract.
	ContractRevision struct {
		Customer string `cbor:"1,keyasint"`
		Revision uint64 `cbor:"2,keyasint"`
	}

	// FleetVersion is the version of a Fleet. Each leader counts its own
	// versions.
	FleetVersion struct {
		Term    uint64 `cbor:"1,keyasint"`
		Version uint64 `cbor:"2,keyasint"`
	}

	// Fleet lists the backend servers known to a leader.
	Fleet struct {
		Version  FleetVersion `cbor:"1,keyasint"`
		Backends []Backend    `cbor:"2,keyasint"`
	}

	// ReleaseRequest ends a lease before it expires.
	ReleaseRequest struct {
		ID          string `cbor:"1,keyasint"`
		Incarnation string `cbor:"2,keyasint"`
	}

	// QuorumHello opens a stream of quorum messages.
	QuorumHello struct {
		From quorum.Member `cbor:"1,keyasint"`
	}

	// BootstrapState is the bootstrap state of a control instance.
	BootstrapState struct {
		Instance    string `cbor:"1,keyasint"`
		HasIdentity bool   `cbor:"2,keyasint"` // the instance has an identity
		Term        uint64 `cbor:"3,keyasint"` // 0 until the instance has voted or received a message from a leader
	}

	// JoinRequest requests membership for a replica with a new identity.
	JoinRequest struct {
		Member quorum.Member `cbor:"1,keyasint"`
	}

	// OperateRequest forwards an operator's request to the leader.
	OperateRequest struct {
		Kind         string               `cbor:"1,keyasint"`
		Contract     *contract.Change     `cbor:"2,keyasint,omitempty"`
		Announcement *change.Announcement `cbor:"3,keyasint,omitempty"`
		Customer     string               `cbor:"4,keyasint,omitempty"`
		MaxWait      time.Duration        `cbor:"5,keyasint"` // longest wait for a contract to be in force
		Routes       *routes.Table        `cbor:"6,keyasint,omitempty"`
	}

	// SubscribeRequest subscribes a relay to updates for the duration of the call.
	SubscribeRequest struct {
		Relay         string `cbor:"1,keyasint"`
		RoutesVersion uint64 `cbor:"2,keyasint"`           // of the routes in force at the relay
		Address       string `cbor:"3,keyasint"`           // address of the relay for other relays
		HasRoutes     bool   `cbor:"4,keyasint,omitempty"` // there are routes in force; relays of earlier versions don't say so
	}

	// RelayLoads reports to other relays how much load one relay has placed on
	// each backend server.
	RelayLoads struct {
		Relay   string           `cbor:"1,keyasint"`           // address of the relay
		Servers []placement.Load `cbor:"2,keyasint,omitempty"` // loads that have changed since the previous message of the call

		CacheInserts  []placement.CacheInsert  `cbor:"3,keyasint,omitempty"` // prompts placed since the previous message
		CacheListings []placement.CacheListing `cbor:"4,keyasint,omitempty"` // parts that backend servers have listed as cached
		Evidence      []quarantine.Evidence    `cbor:"5,keyasint,omitempty"` // about parts of prompts that may crash servers
		Departures    []roster.Observation     `cbor:"6,keyasint,omitempty"` // backend servers that leave, learned since the previous message
		Ramps         []ramp.Report            `cbor:"7,keyasint,omitempty"` // of servers that are paced
		Shares        []share.Report           `cbor:"8,keyasint,omitempty"` // what teams ask of services under pressure
	}

	// PreviewRequest asks a relay where it would send a request now.
	PreviewRequest struct {
		Host     string              `json:"host"`
		Path     string              `json:"path"`
		Header   map[string][]string `json:"header,omitempty"` // as a caller sends it
		Team     string              `json:"team,omitempty"`   // name; goes before a key in Header
		Prompt   []PromptPart        `json:"prompt,omitempty"` // this and what follows go before what Header says
		Tokens   int                 `json:"tokens,omitempty"` // of the whole prompt
		Answer   int                 `json:"answer,omitempty"` // most tokens of the answer
		LeftMs   int                 `json:"left,omitempty"`   // time until the caller needs the whole answer
		Tried    []string            `json:"tried,omitempty"`  // IDs of servers that have had the request
		Returned bool                `json:"returned"`         // the caller was refused before
	}

	// PromptPart is a part of a prompt.
	PromptPart struct {
		Name   string `json:"name"`
		Tokens int    `json:"tokens"`
	}

	// PreviewResponse is where a relay would send a request, or why it would refuse it.
	PreviewResponse struct {
		Error     *fault.Error       `json:"error,omitempty"` // of the preview itself
		Relay     string             `json:"relay"`           // instance
		Version   uint64             `json:"version"`         // of the routes
		Route     string             `json:"route,omitempty"`
		Service   string             `json:"service,omitempty"`
		Team      string             `json:"team,omitempty"`
		Refusal   *fault.Error       `json:"refusal,omitempty"` // the error that the request would get
		RetryMs   float64            `json:"retry,omitempty"`   // when the caller is asked to return
		Leaving   []string           `json:"leaving,omitempty"` // IDs of servers that take no new requests
		Placement *placement.Preview `json:"placement,omitempty"`
	}

	// RoutesInForce tells a control instance, on the call by which a relay subscribes,
	// which routes the relay has.
	RoutesInForce struct {
		Version uint64 `cbor:"1,keyasint"`
	}

	// RelayUpdate is an update for a relay. The first one of a subscription has
	// everything but routes that the relay has already; each later one has what is new.
	RelayUpdate struct {
		Routes           *routes.Table        `cbor:"1,keyasint,omitempty"` // if newer than the routes sent before
		Servers          []roster.Observation `cbor:"2,keyasint,omitempty"`
		ControlAddresses []string             `cbor:"3,keyasint,omitempty"` // addresses of the control instances; empty for no change
		RelayAddresses   []string             `cbor:"4,keyasint,omitempty"` // addresses of the relays subscribed to this control instance; empty for no change
		Current          bool                 `cbor:"5,keyasint,omitempty"` // the control instance knows since when its state was current
		Age              time.Duration        `cbor:"6,keyasint,omitempty"` // since then
		Time             int64                `cbor:"7,keyasint,omitempty"` // of day at the control instance, Unix milliseconds; only where usage is reported
	}

	// UsageHello opens a stream of usage reports.
	UsageHello struct {
		Relay       string `cbor:"1,keyasint"`
		Incarnation string `cbor:"2,keyasint,omitempty"` // unique for each start of the relay
	}

	// UsageReport has the requests that backend servers began for a relay, as totals of
	// the teams and windows that have changed since the report before.
	UsageReport struct {
		Time     int64          `cbor:"1,keyasint"`           // of day at the relay, Unix milliseconds
		Complete int64          `cbor:"2,keyasint,omitempty"` // number of the first window whose counts may still grow
		Windows  []meter.Window `cbor:"3,keyasint,omitempty"`
		Demand   []Demand       `cbor:"4,keyasint,omitempty"` // for services whose number of servers is ordered
	}

	// Demand is what a relay knows of the servers of a service in a failure domain.
	Demand struct {
		Service string `cbor:"1,keyasint"`
		Domain  string `cbor:"2,keyasint"`
		Servers int    `cbor:"3,keyasint"` // that take requests
		Slots   int    `cbor:"4,keyasint"` // greatest of a server
		Active  int    `cbor:"5,keyasint"` // requests of this relay at the servers
	}

	// OperateResponse is the result of an operator's request.
	OperateResponse struct {
		Error           *fault.Error        `cbor:"1,keyasint,omitempty" json:"error,omitempty"`
		State           string              `cbor:"2,keyasint" json:"state,omitempty"` // accepted or pending
		Contract        *contract.Accepted  `cbor:"3,keyasint,omitempty" json:"contract,omitempty"`
		Contracts       []contract.Accepted `cbor:"4,keyasint,omitempty" json:"contracts,omitempty"`
		Change          *change.Change      `cbor:"5,keyasint,omitempty" json:"change,omitempty"`
		Changes         []change.Change     `cbor:"6,keyasint,omitempty" json:"changes,omitempty"`
		Status          *Status             `cbor:"7,keyasint,omitempty" json:"status,omitempty"`
		OutdatedHolders []string            `cbor:"8,keyasint,omitempty" json:"behind,omitempty"` // holders that don't have a pending contract in force
		Routes          *routes.Table       `cbor:"9,keyasint,omitempty" json:"-"`
	}

	// Status is the state of the system as known to its leader.
	Status struct {
		Quorum       quorum.Status   `cbor:"1,keyasint" json:"quorum"`
		Revision     uint64          `cbor:"2,keyasint" json:"revision"` // newest configuration revision
		EntryCount   int             `cbor:"3,keyasint" json:"entries"`  // entries with a lease
		SidecarCount int             `cbor:"4,keyasint" json:"sidecars"` // sidecars with a lease
		Backends     []Backend       `cbor:"5,keyasint" json:"backends"`
		Changes      []change.Change `cbor:"6,keyasint" json:"changes"`
		OrderCount   int             `cbor:"7,keyasint" json:"orders"` // number of order records
		Duties       []Duty          `cbor:"8,keyasint,omitempty" json:"duties,omitempty"`
		UsageWindows []UsageWindow   `cbor:"9,keyasint,omitempty" json:"usage,omitempty"` // open, or not known to be reported
		Teams        []Team          `cbor:"10,keyasint,omitempty" json:"teams,omitempty"`
		Servers      []ServerCount   `cbor:"11,keyasint,omitempty" json:"servers,omitempty"`
	}

	// ServerCount has the number of servers of a service in a failure domain.
	ServerCount struct {
		Service string `cbor:"1,keyasint" json:"service"`
		Domain  string `cbor:"2,keyasint" json:"domain"`
		Ordered int    `cbor:"3,keyasint" json:"ordered"`
		Present int    `cbor:"4,keyasint" json:"present"` // that take requests
	}

	// Duty is a duty towards the provider.
	Duty struct {
		Name        string            `cbor:"1,keyasint" json:"name"`
		Holder      string            `cbor:"2,keyasint" json:"holder"`                          // instance; empty if nobody has held it yet
		Token       uint64            `cbor:"3,keyasint" json:"token"`                           // fencing token of the holder
		LastSuccess settings.Duration `cbor:"4,keyasint,omitempty" json:"lastSuccess,omitempty"` // age of the last call that the provider accepted from this leader; 0 for none
	}

	// UsageWindow is a window of usage.
	UsageWindow struct {
		Number   int64     `cbor:"1,keyasint" json:"window"`
		Start    time.Time `cbor:"2,keyasint" json:"start"`
		State    string    `cbor:"3,keyasint" json:"state"` // WindowOpen or WindowClosed
		Late     bool      `cbor:"4,keyasint" json:"late"`  // the report is late
		Teams    int       `cbor:"5,keyasint" json:"teams"`
		Requests uint64    `cbor:"6,keyasint" json:"requests"`
		Missing  int       `cbor:"7,keyasint" json:"missing"` // relays whose counts may be incomplete
	}

	// Team is a team with the number of its keys.
	Team struct {
		Name string `cbor:"1,keyasint" json:"name"`
		Keys int    `cbor:"2,keyasint" json:"keys"`
	}

	// GrantsRequest subscribes an entry to the grants of a sidecar.
	GrantsRequest struct {
		Entry string `cbor:"1,keyasint"`
	}

	// Grant permits an entry to send new requests for a limited time, and
	// reports the state of the backend server.
	Grant struct {
		Incarnation   string        `cbor:"1,keyasint"` // of the sidecar
		Duration      time.Duration `cbor:"2,keyasint"` // 0 while no new requests are accepted
		Models        []string      `cbor:"3,keyasint,omitempty"`
		Role          string        `cbor:"4,keyasint"`
		Load          Load          `cbor:"5,keyasint"`
		CachedBlocks  []uint64      `cbor:"6,keyasint,omitempty"` // block hashes inserted into the prefix cache since the previous grant
		EvictedBlocks []uint64      `cbor:"7,keyasint,omitempty"` // block hashes evicted from it since then
		BlockTokens   int           `cbor:"8,keyasint"`           // tokens per block of the prefix cache
	}

	// Load is the load of a backend server.
	Load struct {
		Running    int           `cbor:"1,keyasint"` // requests
		Queued     int           `cbor:"2,keyasint"` // requests
		Capacity   int           `cbor:"3,keyasint"` // requests that can run concurrently
		FreeBlocks int           `cbor:"4,keyasint"` // free KV cache blocks
		ReportAge  time.Duration `cbor:"5,keyasint"` // of the engine's report
	}

	// GenerateRequest requests an answer from an engine, or the rest of one from
	// Offset on.
	GenerateRequest struct {
		ID                 string        `cbor:"1,keyasint"`
		Customer           string        `cbor:"2,keyasint"`
		Revision           uint64        `cbor:"3,keyasint"` // of the contract under which the request was admitted
		Model              string        `cbor:"4,keyasint"`
		Prompt             string        `cbor:"5,keyasint"`
		ReceivedText       string        `cbor:"6,keyasint"` // text of the tokens that the entry has already received
		Offset             int           `cbor:"7,keyasint"` // number of tokens that the entry has already received
		MaxTokens          int           `cbor:"8,keyasint"` // most tokens of the answer, including those before Offset
		Priority           int           `cbor:"9,keyasint"`
		TimeLeft           time.Duration `cbor:"10,keyasint"` // time until the deadline
		Resume             bool          `cbor:"11,keyasint"` // only resume a stream that the sidecar has retained
		UncachedTokens     int           `cbor:"12,keyasint"` // prompt tokens that aren't believed to be cached
		TTFTLimit          time.Duration `cbor:"13,keyasint"` // the contract's limit for the time to the first token; 0 for none
		TokenIntervalLimit time.Duration `cbor:"14,keyasint"` // the contract's limit for the time between tokens; 0 for none
	}

	// CancelRequest aborts an answer that is no longer needed.
	CancelRequest struct {
		ID string `cbor:"1,keyasint"`
	}

	// Chunk is a part of a streamed answer. One without tokens is a keep-alive,
	// unless it is the last one.
	Chunk struct {
		ID           string `cbor:"1,keyasint"` // of the request
		Offset       int    `cbor:"2,keyasint"` // number of tokens of the answer before this chunk
		Tokens       int    `cbor:"3,keyasint"` // number of tokens in Text
		Text         string `cbor:"4,keyasint"`
		Final        bool   `cbor:"5,keyasint"` // the last chunk of a complete answer
		FinishReason string `cbor:"6,keyasint"` // in the last chunk: why the answer ended, stop or length
		PromptTokens int    `cbor:"7,keyasint"` // in the last chunk: number of tokens of the prompt
	}

	// FenceRequest asks whether the sidecar has sent an order to the service. If
	// it has not, it never will from then on.
	FenceRequest struct {
		BeginIndex  uint64 `cbor:"1,keyasint"` // log index of the order's Begin
		Incarnation string `cbor:"2,keyasint"` // of the sidecar that the order was sent to
	}

	// FenceResponse is the response to a FenceRequest.
	FenceResponse struct {
		Sent bool `cbor:"1,keyasint"` // the order was sent to the service, or was fenced before
	}

	// ServiceCall requests a call of the sidecar's service.
	ServiceCall struct {
		ID             string        `cbor:"1,keyasint"`
		Customer       string        `cbor:"2,keyasint"`
		Revision       uint64        `cbor:"3,keyasint"` // of the contract under which the call was admitted
		Method         string        `cbor:"4,keyasint"`
		Path           string        `cbor:"5,keyasint"`
		ContentType    string        `cbor:"6,keyasint"`
		Body           []byte        `cbor:"7,keyasint"`
		BeginIndex     uint64        `cbor:"8,keyasint"`  // log index of the order's Begin; 0 for a call that may run more than once
		IdempotencyKey string        `cbor:"9,keyasint"`  // the caller's idempotency key
		TimeLeft       time.Duration `cbor:"10,keyasint"` // time until the deadline
		MayHaveRun     bool          `cbor:"11,keyasint"` // an earlier attempt may have run; only for services with Dedupe
	}

	// ServiceResponse is the response of the service.
	ServiceResponse struct {
		ID       string         `cbor:"1,keyasint"`
		Response order.Response `cbor:"2,keyasint"`
	}
)
