package wire

import (
	"bytes"
	"testing"
	"time"

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

// TestTime checks that a time comes back as it was.
func TestTime(t *testing.T) {
	want := time.Unix(1_800_000_000, 123_456_789).UTC()
	text, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got time.Time
	if err := Decode(text, &got); err != nil || !got.Equal(want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
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
