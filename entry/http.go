package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"endivedeck.example/fault"
)

// Headers of callers' answers.
const (
	IDHeader  = "Endivedeck-Request" // the request's id, as the logs have it
	RanHeader = "Endivedeck-Ran"     // whether the work of a refused request ran

	retryAfterSeconds = 1 // seconds
)

type (
	// ErrorAnswer is an error in the form that clients of language models know.
	ErrorAnswer struct {
		Error ErrorDetail `json:"error"`
	}

	// ErrorDetail is the content of an ErrorAnswer.
	ErrorDetail struct {
		Message string     `json:"message"`
		Type    string     `json:"type"`
		Code    fault.Kind `json:"code"`
		Ran     fault.Ran  `json:"ran"`
	}
)

// NewID returns a new request id.
func NewID() string { return "req-" + randomID() }

// BearerKey returns the key that a request shows, or an empty one.
func BearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// ErrorBody returns the answer for an error.
func ErrorBody(err error) ErrorAnswer {
	e := fault.From(err)
	response := fault.AnswerTo(e.Kind)
	return ErrorAnswer{Error: ErrorDetail{Message: e.Text, Type: response.Type, Code: e.Kind, Ran: e.Ran}}
}

// WriteError answers a request with an error.
func WriteError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	answer := fault.AnswerTo(e.Kind)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(RanHeader, string(e.Ran))
	if answer.Retry {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(answer.Status)
	_ = json.NewEncoder(w).Encode(ErrorBody(err))
}
