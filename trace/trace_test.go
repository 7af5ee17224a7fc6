package trace

import (
	"bytes"
	"strings"
	"testing"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
)

// TestErrors reads traces with one mistake each and compares the errors with a
// golden file.
func TestErrors(t *testing.T) {
	var valid bytes.Buffer
	generated, err := Generate("calm", 1)
	if err != nil {
		t.Fatal(err)
	}
	generated.Events = nil
	if err := Write(&valid, generated); err != nil {
		t.Fatal(err)
	}
	header := valid.String()
	inputs := []string{
		"",
		"{",
		strings.Replace(header, `"version":1`, `"version":9`, 1),
		strings.Replace(header, `"engines":9`, `"engines":0`, 1),
		strings.Replace(header, `"customer":"crews"`, `"customer":"no name"`, 1),
		header + `{"at":1,"kind":"dance"}`,
		header + `{"at":1,"kind":"query","id":"a"}`,
		header + `{"at":5,"kind":"order","id":"a"}` + "\n" + `{"at":4,"kind":"order","id":"b"}`,
		header + `{"at":1,"kind":"crash","engine":9}`,
	}
	var messages strings.Builder
	for _, input := range inputs {
		_, err := Read(strings.NewReader(input))
		messages.WriteString(fault.FromError(err).Error() + "\n")
	}
	golden.Check(t, "errors.golden", messages.String())
}

// FuzzRead checks that Read doesn't panic on damaged traces and that its errors
// are of kind fault.Malformed.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"version":1}` + "\n" + `{"at":1,"kind":"order","id":"a"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Read(bytes.NewReader(text))
		if err != nil && fault.KindOf(err) != fault.Malformed {
			t.Errorf("got kind %s, want %s", fault.KindOf(err), fault.Malformed)
		}
	})
}
