package access

import (
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/contract"
)

// TestFind guards against an operator whose key is refused because the settings have its
// hash in upper case.
func TestFind(t *testing.T) {
	operators := []Operator{
		{Name: "lower", Hash: contract.HashKey("first")},
		{Name: "upper", Hash: strings.ToUpper(contract.HashKey("second"))},
	}
	for _, c := range []struct{ authorization, want string }{
		{"Bearer first", "lower"},
		{"Bearer second", "upper"},
		{"Bearer third", "none"},
		{"Bearer " + contract.HashKey("first"), "none"},
		{"first", "none"},
		{"", "none"},
	} {
		got := "none"
		if o := Find(operators, &http.Request{Header: http.Header{"Authorization": {c.authorization}}}); o != nil {
			got = o.Name
		}
		if got != c.want {
			t.Errorf("authorization %q: got operator %s, want %s", c.authorization, got, c.want)
		}
	}
}
