package wire

import (
	"bytes"
	"testing"

	"endivedeck.example/fault"
)

// FuzzReadFrame reads damaged frames: an error or a value, never a panic, and
// no more memory than what has come.
func FuzzReadFrame(f *testing.F) {
	var frame bytes.Buffer
	if err := WriteFrame(&frame, request{Method: "renew", Body: []byte{0xa0}}); err != nil {
		f.Fatal(err)
	}
	f.Add(frame.Bytes())
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		var r request
		err := ReadFrame(bytes.NewReader(text), &r)
		if err == nil && len(r.Method) > len(text) {
			t.Errorf("got a method of %d bytes from %d", len(r.Method), len(text))
		}
	})
}

// TestFrameLimit checks that a length over the limit is refused before any of
// it is read.
func TestFrameLimit(t *testing.T) {
	var r request
	err := ReadFrame(bytes.NewReader([]byte{0x7f, 0xff, 0xff, 0xff}), &r)
	if got := fault.Of(err); got != fault.TooLarge {
		t.Errorf("got %s, want %s", got, fault.TooLarge)
	}
}
