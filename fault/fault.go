// Package fault defines the errors of the system and their form in HTTP
// responses.
//
// Every error that can reach a caller, an operator or another process has a
// kind, and tells whether the request was executed. The kind selects the HTTP
// status and the error type from a single table, so that all front ends return
// the same ones. Callers may safely retry a request that was not executed, so an
// error may only say so where that is certain.
package fault

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// All kinds of errors. A new one also needs an entry in httpErrors.
const (
	Malformed        Kind = "malformed"       // invalid request, message or settings
	Unauthenticated  Kind = "unauthenticated" // no valid credentials
	Forbidden        Kind = "forbidden"       // not permitted with these credentials
	NotFound         Kind = "not_found"
	Conflict         Kind = "conflict"    // contradicts the current state
	TooLarge         Kind = "too_large"   // over a size limit
	LimitExceeded    Kind = "over_limit"  // over a limit of the customer's contract
	Overloaded       Kind = "overloaded"  // no capacity at present
	LeaseExpired     Kind = "lapsed"      // the lease of the process has expired
	Stale            Kind = "stale"       // superseded by a newer order, contract or attempt
	Unavailable      Kind = "unavailable" // not reachable, not ready or stopping
	Pending          Kind = "pending"     // an earlier attempt of the order has no outcome yet
	DeadlineExceeded Kind = "deadline"    // timed out
	Canceled         Kind = "canceled"    // canceled by the caller
	Broken           Kind = "broken"      // connection, response or stored data incomplete or damaged
	Internal         Kind = "internal"    // a fault of the program
)

// Whether a failed request was executed.
const (
	NotRun   Ran = "no"      // certainly not
	MaybeRun Ran = "unknown" // possibly, in part or as a whole
	HasRun   Ran = "yes"
)

var httpErrors = map[Kind]HTTPError{
	Malformed:        {Status: 400, Type: "invalid_request_error"},
	Unauthenticated:  {Status: 401, Type: "authentication_error"},
	Forbidden:        {Status: 403, Type: "permission_error"},
	NotFound:         {Status: 404, Type: "not_found_error"},
	Conflict:         {Status: 409, Type: "conflict_error"},
	TooLarge:         {Status: 413, Type: "invalid_request_error"},
	LimitExceeded:    {Status: 429, Type: "rate_limit_error", Retryable: true},
	Overloaded:       {Status: 503, Type: "overloaded_error", Retryable: true},
	LeaseExpired:     {Status: 503, Type: "unavailable_error", Retryable: true},
	Stale:            {Status: 503, Type: "unavailable_error", Retryable: true},
	Unavailable:      {Status: 503, Type: "unavailable_error", Retryable: true},
	Pending:          {Status: 409, Type: "pending_error", Retryable: true},
	DeadlineExceeded: {Status: 504, Type: "timeout_error", Retryable: true},
	Canceled:         {Status: 499, Type: "canceled_error"},
	Broken:           {Status: 502, Type: "backend_error", Retryable: true},
	Internal:         {Status: 500, Type: "internal_error"},
}

var _ error = (*Error)(nil)

type (
	// Kind is the category of an error.
	Kind string

	// Ran tells whether a failed request was executed.
	Ran string

	// HTTPError is the HTTP form of a Kind.
	HTTPError struct {
		Status    int    // HTTP status code
		Type      string // the member "type" of the error object in the body
		Retryable bool   // whether a later retry may succeed
	}

	// Error is the error that the functions of this package return, wrapped.
	// It is sent between processes without change.
	Error struct {
		Kind    Kind   `cbor:"1,keyasint" json:"kind"`
		Ran     Ran    `cbor:"2,keyasint" json:"ran"`
		Message string `cbor:"3,keyasint" json:"text"`

		// RedirectAddress is the address of the process to which the request
		// should be sent instead, if known.
		RedirectAddress string `cbor:"4,keyasint,omitempty" json:"-"`

		// EngineEnded tells that an engine broke its connection while it had the
		// request, as engines do that crash.
		EngineEnded bool `cbor:"5,keyasint,omitempty" json:"-"`
	}
)

// New returns an error of the given kind with a stack trace.
func New(kind Kind, ran Ran, format string, args ...any) error {
	return eris.Wrap(&Error{Kind: kind, Ran: ran, Message: fmt.Sprintf(format, args...)}, "")
}

// Redirect returns an error of kind Unavailable that redirects the caller to
// the process at address.
func Redirect(address, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	return eris.Wrap(&Error{Kind: Unavailable, Ran: NotRun, Message: message, RedirectAddress: address}, "")
}

// EngineEnd returns an error of kind Broken for an engine that broke the
// connection over which it had received a request.
func EngineEnd(format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	return eris.Wrap(&Error{Kind: Broken, Ran: MaybeRun, Message: message, EngineEnded: true}, "")
}

// WithStack adds a stack trace to an error received from another process. It
// returns nil for nil.
func WithStack(e *Error) error {
	if e == nil {
		return nil
	}
	return eris.Wrap(e, "")
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// FromError returns the Error that err wraps. For any other error it returns one
// of kind Internal with MaybeRun, since nothing is known about the cause. For nil
// it returns nil.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Ran: MaybeRun, Message: err.Error()}
}

// KindOf returns the kind of err, or "" for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return FromError(err).Kind
}

// HTTPErrorOf returns the HTTP form of a kind. An unknown kind is treated as
// Internal.
func HTTPErrorOf(kind Kind) HTTPError {
	httpError, ok := httpErrors[kind]
	if !ok {
		return httpErrors[Internal]
	}
	return httpError
}

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(httpErrors))
	for kind := range httpErrors {
		kinds = append(kinds, kind)
	}
	return kinds
}
