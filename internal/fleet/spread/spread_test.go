package spread

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestDue plays versions that come in at a source of each place, and a receiver that gets
// them from the first source that lives, and lists when each source sends.
func TestDue(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var got strings.Builder
	for _, c := range []struct {
		name     string
		bytes    int
		every    time.Duration // between two versions
		versions int
		first    int           // place of the first source that lives
		transit  time.Duration // from sending until the others know that the receiver has the version
	}{
		{"small version", SmallBytes, 0, 1, 0, 20 * time.Millisecond},
		{"large version", 10 * SmallBytes, 0, 1, 0, 300 * time.Millisecond},
		{"large version on a very thin link", 10 * SmallBytes, 0, 1, 0, 900 * time.Millisecond},
		{"large version, first source is dead", 10 * SmallBytes, 0, 1, 1, 300 * time.Millisecond},
		{"large version, two sources are dead", 10 * SmallBytes, 0, 1, 2, 300 * time.Millisecond},
		{"large versions in quick succession", 10 * SmallBytes, 100 * time.Millisecond, 6, 0, 50 * time.Millisecond},
		{"large versions in quick succession, first source is dead", 10 * SmallBytes, 100 * time.Millisecond, 6, 1, 50 * time.Millisecond},
	} {
		fmt.Fprintf(&got, "%s:\n", c.name)
		sources := make([]Delivery, 5)
		arrivals := map[time.Duration]uint64{} // version that the receiver is known to have, by time
		for ms := range 2500 {
			at := time.Duration(ms) * time.Millisecond
			version := uint64(1)
			if c.every > 0 {
				version = uint64(min(1+int(at/c.every), c.versions))
			}
			for place := c.first; place < len(sources); place++ {
				d := &sources[place]
				d.Held = max(d.Held, arrivals[at])
				if send, _ := d.Due(start.Add(at), version, c.bytes, place); send {
					fmt.Fprintf(&got, "    %4d ms: source %d sends version %d\n", ms, place, version)
					arrivals[at+c.transit] = max(arrivals[at+c.transit], version)
				}
			}
		}
	}
	golden.Check(t, "due.golden", got.String())
}
