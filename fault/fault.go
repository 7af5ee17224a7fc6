// Package fault is the closed list of error kinds and the table from kind to
// answer.
//
// Every error that can reach a caller, an operator or another process of the
// system carries one Kind and one Ran. Kind says what went wrong and selects
// the answer from a single table, so that no front end invents a status of
// its own. Ran says whether the work that was asked for has run, which is a
// promise: No is only given where it is proved.
package fault

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// The closed list of kinds. A kind is added here and in the table below, or
// not at all.
const (
	Malformed       Kind = "malformed"
	Unauthenticated Kind = "unauthenticated"
	Forbidden       Kind = "forbidden"
	NotFound        Kind = "not_found"
	Conflict        Kind = "conflict"
	TooLarge        Kind = "too_large"
	OverLimit       Kind = "over_limit"
	Overloaded      Kind = "overloaded"
	Lapsed          Kind = "lapsed"
	Stale           Kind = "stale"
	Unavailable     Kind = "unavailable"
	Pending         Kind = "pending"
	Deadline        Kind = "deadline"
	Canceled        Kind = "canceled"
	Broken          Kind = "broken"
	Internal        Kind = "internal"
)

// Whether the work behind a failed request has run.
const (
	No      Ran = "no"
	Unknown Ran = "unknown"
	Yes     Ran = "yes"
)

var answers = map[Kind]Answer{
	Malformed:       {Status: 400, Type: "invalid_request_error"},
	Unauthenticated: {Status: 401, Type: "authentication_error"},
	Forbidden:       {Status: 403, Type: "permission_error"},
	NotFound:        {Status: 404, Type: "not_found_error"},
	Conflict:        {Status: 409, Type: "conflict_error"},
	TooLarge:        {Status: 413, Type: "invalid_request_error"},
	OverLimit:       {Status: 429, Type: "rate_limit_error", Retry: true},
	Overloaded:      {Status: 503, Type: "overloaded_error", Retry: true},
	Lapsed:          {Status: 503, Type: "unavailable_error", Retry: true},
	Stale:           {Status: 503, Type: "unavailable_error", Retry: true},
	Unavailable:     {Status: 503, Type: "unavailable_error", Retry: true},
	Pending:         {Status: 409, Type: "pending_error", Retry: true},
	Deadline:        {Status: 504, Type: "timeout_error", Retry: true},
	Canceled:        {Status: 499, Type: "canceled_error"},
	Broken:          {Status: 502, Type: "backend_error", Retry: true},
	Internal:        {Status: 500, Type: "internal_error"},
}

var _ error = (*Error)(nil)

type (
	// Kind names one kind of error.
	Kind string

	// Ran says whether the work ran: No, Unknown or Yes.
	Ran string

	// Answer is how a kind is shown to an HTTP caller.
	Answer struct {
		Status int    // HTTP status code
		Type   string // the "type" member of the callers' error form
		Retry  bool   // whether asking again later may help
	}

	// Error is an error of one kind. It crosses between processes as it is.
	Error struct {
		Kind Kind   `cbor:"1,keyasint" json:"kind"`
		Ran  Ran    `cbor:"2,keyasint" json:"ran"`
		Text string `cbor:"3,keyasint" json:"text"`

		// Elsewhere is the address of the process that can serve the
		// request, where it is known.
		Elsewhere string `cbor:"4,keyasint,omitempty" json:"-"`
	}
)

// New returns an error of the given kind with a stack trace.
func New(kind Kind, ran Ran, format string, args ...any) error {
	return eris.Wrap(&Error{Kind: kind, Ran: ran, Text: fmt.Sprintf(format, args...)}, "")
}

// Elsewhere returns an error that sends the caller to another process.
func Elsewhere(address, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return eris.Wrap(&Error{Kind: Unavailable, Ran: No, Text: text, Elsewhere: address}, "")
}

// Wrap returns a received error with a stack trace, or nil for nil.
func Wrap(e *Error) error {
	if e == nil {
		return nil
	}
	return eris.Wrap(e, "")
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Text
}

// From returns the Error inside err. An error without one is Internal with
// Ran Unknown, because nothing was proved about it. From returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Ran: Unknown, Text: err.Error()}
}

// Of returns the kind of err, or the empty kind for nil.
func Of(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}

// AnswerTo returns the answer for a kind; a kind outside the list is answered
// as Internal.
func AnswerTo(kind Kind) Answer {
	answer, ok := answers[kind]
	if !ok {
		return answers[Internal]
	}
	return answer
}

// Kinds returns the closed list in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}
