package wire

import (
	"bytes"
	"testing"
	"time"

	"endivedeck.example/fault"
)

// FuzzReadFrame checks that invalid frames don't cause a panic, and that a
// decoded method isn't longer than the input.
func FuzzReadFrame(f *testing.F) {
	var frame bytes.Buffer
	if err := WriteFrame(&frame, requestFrame{Method: "renew", Body: []byte{0xa0}}); err != nil {
		f.Fatal(err)
	}
	f.Add(frame.Bytes())
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r requestFrame
		err := ReadFrame(bytes.NewReader(data), &r)
		if err == nil && len(r.Method) > len(data) {
			t.Errorf("got a method of %d bytes from %d", len(r.Method), len(data))
		}
	})
}

// TestTime guards against times losing their nanoseconds, which the default
// options of the CBOR library drop.
func TestTime(t *testing.T) {
	want := time.Unix(1_800_000_000, 123_456_789).UTC()
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got time.Time
	if err := Decode(data, &got); err != nil || !got.Equal(want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}

// TestFrameLimit checks that a frame is refused by its length field alone if
// that is over MaxFrameBytes.
func TestFrameLimit(t *testing.T) {
	var r requestFrame
	err := ReadFrame(bytes.NewReader([]byte{0x7f, 0xff, 0xff, 0xff}), &r)
	if got := fault.KindOf(err); got != fault.TooLarge {
		t.Errorf("got %s, want %s", got, fault.TooLarge)
	}
}
