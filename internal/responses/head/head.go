// Package head checks the heads of HTTP/1.1 responses for errors that net/http accepts.
//
// Source: RFC 9110, section 15 (status codes).
package head

import "fmt"

// Status codes that a response may have.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns an error if no response may have the status code. net/http accepts
// any three digits.
func CheckStatus(code int) error {
	if code < minStatus || code > maxStatus {
		return fmt.Errorf("invalid status code %03d, want %d to %d", code, minStatus, maxStatus)
	}
	return nil
}
