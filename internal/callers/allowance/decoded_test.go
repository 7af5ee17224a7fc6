package allowance

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestDecodedBytes(t *testing.T) {
	for _, test := range []struct {
		text string
		want int64
	}{
		{``, 0},
		{`{"a": "b"}`, objectBytes},
		{`{"a": "{},[\"{,\\"}`, objectBytes},
		{`[{},{},[]]`, 2*objectBytes + 4*elementBytes},
		{`"\`, 0},
	} {
		if got := DecodedBytes([]byte(test.text)); got != test.want {
			t.Errorf("%s: got %d, want %d", test.text, got, test.want)
		}
	}
}

// FuzzDecodedBytes checks that texts with many values aren't cheap, whatever stands in
// their strings.
func FuzzDecodedBytes(f *testing.F) {
	f.Add(`{"messages": [{"role": "user", "content": "a, {b} \" ["}]}`)
	f.Add(`[[[[]]],{"a":{"b":[1,2,3]}}]`)
	f.Add(`{"` + strings.Repeat(`\\`, 20) + `":[]}`)
	f.Fuzz(func(t *testing.T, text string) {
		var value any
		if json.Unmarshal([]byte(text), &value) != nil {
			return
		}
		if got, want := DecodedBytes([]byte(text)), int64(elementBytes*countNested(value)); got < want {
			t.Errorf("%q: got %d bytes, want at least %d", text, got, want)
		}
	})
}

// countNested returns the number of lists and objects in value.
func countNested(value any) int {
	n := 0
	switch v := value.(type) {
	case []any:
		n = 1
		for _, element := range v {
			n += countNested(element)
		}
	case map[string]any:
		n = 1
		for _, element := range v {
			n += countNested(element)
		}
	}
	return n
}
