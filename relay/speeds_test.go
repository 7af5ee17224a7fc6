package relay

import (
	"testing"

	"endivedeck.example/placement"
)

// TestSpeedLog checks that a server's speed is logged when it becomes unusual, changes by
// much, and becomes usual again, and not otherwise.
func TestSpeedLog(t *testing.T) {
	l := &speedLog{logged: map[string]placement.ServerSpeed{}}
	for i, c := range []struct {
		current []placement.ServerSpeed
		want    []placement.ServerSpeed
	}{
		{nil, nil},
		{[]placement.ServerSpeed{{ID: "a", Answering: 2.1, Generating: 1}}, []placement.ServerSpeed{{ID: "a", Answering: 2.1, Generating: 1}}},
		{[]placement.ServerSpeed{{ID: "a", Answering: 2.4, Generating: 1}}, nil},
		{[]placement.ServerSpeed{{ID: "a", Answering: 2.4, Generating: 2.2}}, []placement.ServerSpeed{{ID: "a", Answering: 2.4, Generating: 2.2}}},
		{nil, []placement.ServerSpeed{{ID: "a", Answering: 1, Generating: 1}}},
		{nil, nil},
	} {
		got := l.changes(c.current)
		if len(got) != len(c.want) || len(got) == 1 && got[0] != c.want[0] {
			t.Errorf("step %d: got %v, want %v", i, got, c.want)
		}
	}
}
