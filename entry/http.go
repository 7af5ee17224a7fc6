package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"endivedeck.example/fault"
)

// Headers of responses to callers.
const (
	RequestIDHeader = "Endivedeck-Request" // the request ID, as in the log
	RanHeader       = "Endivedeck-Ran"     // whether a failed request has run: a fault.Ran

	retryAfterSeconds = 1
)

type (
	// ErrorResponse is the body of an error response, in the format that clients
	// of chat completion APIs expect.
	ErrorResponse struct {
		Error ErrorDetail `json:"error"`
	}

	// ErrorDetail describes the error of an ErrorResponse.
	ErrorDetail struct {
		Message string     `json:"message"`
		Type    string     `json:"type"`
		Code    fault.Kind `json:"code"`
		Ran     fault.Ran  `json:"ran"`
	}
)

// NewRequestID returns a new random request ID.
func NewRequestID() string { return "req-" + randomID() }

// BearerToken returns the bearer token of the Authorization header, or "".
func BearerToken(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// NewErrorResponse returns the response body for err.
func NewErrorResponse(err error) ErrorResponse {
	e := fault.FromError(err)
	httpError := fault.HTTPErrorOf(e.Kind)
	return ErrorResponse{Error: ErrorDetail{Message: e.Message, Type: httpError.Type, Code: e.Kind, Ran: e.Ran}}
}

// WriteError writes the error response for err.
func WriteError(w http.ResponseWriter, err error) {
	e := fault.FromError(err)
	httpError := fault.HTTPErrorOf(e.Kind)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(RanHeader, string(e.Ran))
	if httpError.Retryable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(httpError.Status)
	_ = json.NewEncoder(w).Encode(NewErrorResponse(err))
}
