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
		version  uint64 // the first one
		bytes    int
		every    time.Duration // between two versions
		versions int
		first    int           // place of the first source that lives
		transit  time.Duration // from sending until the others know that the receiver has the version
	}{
		{"small version", 1, SmallBytes, 0, 1, 0, 20 * time.Millisecond},
		{"large version", 1, 10 * SmallBytes, 0, 1, 0, 300 * time.Millisecond},
		{"large version on a very thin link", 1, 10 * SmallBytes, 0, 1, 0, 900 * time.Millisecond},
		{"large version, first source is dead", 1, 10 * SmallBytes, 0, 1, 1, 300 * time.Millisecond},
		{"large version, two sources are dead", 1, 10 * SmallBytes, 0, 1, 2, 300 * time.Millisecond},
		{"large versions in quick succession", 1, 10 * SmallBytes, 100 * time.Millisecond, 6, 0, 50 * time.Millisecond},
		{"large versions in quick succession, first source is dead", 1, 10 * SmallBytes, 100 * time.Millisecond, 6, 1, 50 * time.Millisecond},
		{"small version 0", 0, SmallBytes, 0, 1, 0, 20 * time.Millisecond},
		{"large version 0", 0, 10 * SmallBytes, 0, 1, 0, 300 * time.Millisecond},
		{"large versions from 0 on, first source is dead", 0, 10 * SmallBytes, 300 * time.Millisecond, 2, 1, 50 * time.Millisecond},
	} {
		fmt.Fprintf(&got, "%s:\n", c.name)
		sources := make([]Delivery, 5)
		arrivals := map[time.Duration]Holding{} // what the receiver is known to have, by time
		for ms := range 2500 {
			at := time.Duration(ms) * time.Millisecond
			version := c.version
			if c.every > 0 {
				version += uint64(min(int(at/c.every), c.versions-1))
			}
			for place := c.first; place < len(sources); place++ {
				d := &sources[place]
				if arrived := arrivals[at]; arrived.Known && d.Held.Lacks(arrived.Version) {
					d.Held = arrived
				}
				if send, _ := d.Due(start.Add(at), version, c.bytes, place); send {
					fmt.Fprintf(&got, "    %4d ms: source %d sends version %d\n", ms, place, version)
					if arrivals[at+c.transit].Lacks(version) {
						arrivals[at+c.transit] = Holding{Version: version, Known: true}
					}
				}
			}
		}
	}
	golden.Check(t, "due.golden", got.String())
}
