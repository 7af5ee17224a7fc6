// Package access tells which operator a request comes from.
package access

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"endivedeck.example/contract"
)

// Operator is an account of an operator.
type Operator struct {
	Name string `json:"name" need:"yes"`
	Hash string `json:"hash" need:"yes"` // SHA-256 of the operator's key, in hex digits of either case
}

// Find returns the operator whose key is the request's bearer token, or nil.
func Find(operators []Operator, r *http.Request) *Operator {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil
	}
	hash := contract.HashKey(key)
	for i := range operators {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(operators[i].Hash))) == 1 {
			return &operators[i]
		}
	}
	return nil
}
