package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
)

type sample struct {
	Name  string             `json:"name" need:"yes"`
	Count int                `json:"count" range:"1..10"`
	Wait  Duration           `json:"wait" range:"1s..1m"`
	Inner inner              `json:"inner"`
	Items []inner            `json:"items"`
	Parts map[string]Section `json:"*"`
}

type inner struct {
	Rate float64 `json:"rate" range:"0..1"`
	On   bool    `json:"on"`
}

// TestFiles parses the files under testdata. The first line of each is a comment
// with the expected error, or "ok".
func TestFiles(t *testing.T) {
	for _, file := range golden.Inputs(t, "*.jsonc") {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		first, _, _ := bytes.Cut(text, []byte("\n"))
		want := strings.TrimPrefix(string(first), "// want: ")
		value := sample{Count: 1, Wait: Duration(1e9)}
		got := "ok"
		if err := Parse(filepath.Base(file), text, &value); err != nil {
			got = fault.FromError(err).Message
		}
		if got != want {
			t.Errorf("%s: got %q, want %q", file, got, want)
		}
	}
}

// TestSection guards against errors in a section that is decoded later having
// lines and paths relative to the section instead of the file.
func TestSection(t *testing.T) {
	text := "{\n  \"name\": \"a\",\n  \"part\": {\n    \"rate\": 7\n  }\n}"
	var value sample
	if err := Parse("f", []byte(text), &value); err != nil {
		t.Fatal(err)
	}
	var target inner
	err := value.Parts["part"].Decode(&target)
	got := fault.FromError(err).Message
	want := "f:4: part.rate: out of range: want 0 to 1"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// FuzzParse checks that invalid input doesn't cause a panic or an error of
// another kind than Malformed.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "a", "items": [{"rate": 1}]} // end`))
	f.Add([]byte(`{"name": 1e999, "wait": "x"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var value sample
		if err := Parse("fuzz", text, &value); err != nil && fault.KindOf(err) != fault.Malformed {
			t.Errorf("got kind %s, want %s", fault.KindOf(err), fault.Malformed)
		}
	})
}
