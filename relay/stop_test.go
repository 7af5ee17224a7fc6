package relay

import (
	"testing"
	"time"

	"endivedeck.example/settings"
)

// TestMayOutlast refuses, on a relay that stops, what may still run when it is
// killed, once callers have had time to go elsewhere.
func TestMayOutlast(t *testing.T) {
	r := &Relay{settings: Settings{GracePeriod: settings.Duration(8 * time.Second)}}
	start := time.Unix(1_800_000_000, 0)
	if r.mayOutlast(start, time.Minute) {
		t.Error("a relay that doesn't stop refuses")
	}
	r.left.Store(start.UnixNano())
	r.leaving.Store(true)
	for _, c := range []struct {
		since, timeout time.Duration
		want           bool
	}{
		{time.Second, 15 * time.Second, false},
		{2400 * time.Millisecond, 15 * time.Second, false},
		{2600 * time.Millisecond, 15 * time.Second, true},
		{2600 * time.Millisecond, 2 * time.Second, false},
		{5 * time.Second, 2 * time.Second, true},
		{5 * time.Second, time.Second, false},
	} {
		if got := r.mayOutlast(start.Add(c.since), c.timeout); got != c.want {
			t.Errorf("%v after the signal, timeout %v: got %v, want %v", c.since, c.timeout, got, c.want)
		}
	}
}

// TestEvents cuts a stream into whole events wherever its bytes are cut.
func TestEvents(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c"
	for size := 1; size <= len(text); size++ {
		e := &events{}
		var got string
		for at := 0; at < len(text); at += size {
			whole, tooLarge := e.add([]byte(text[at:min(at+size, len(text))]))
			if tooLarge {
				t.Fatal("an event of some bytes is too large")
			}
			got += string(whole)
		}
		if want := text[:len(text)-len("id: 3\ndata: c")]; got != want {
			t.Errorf("in pieces of %d: got %q, want %q", size, got, want)
		}
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2", 3)
	f.Add("\r\n\r\n\n\n", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 || len(text) > 1<<16 {
			return
		}
		e := &events{}
		var got string
		for at := 0; at < len(text); at += size {
			whole, _ := e.add([]byte(text[at:min(at+size, len(text))]))
			got += string(whole)
		}
		if got+string(e.rest) != text {
			t.Errorf("got %q and %q left, want %q", got, e.rest, text)
		}
	})
}
