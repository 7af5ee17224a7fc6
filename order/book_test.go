package order

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestBook plays the files under testdata: a line is a command, and the golden
// file has what came of it.
func TestBook(t *testing.T) {
	for _, file := range golden.Inputs(t, "*.steps") {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		p := &player{book: NewStore(), now: time.Unix(1_800_000_000, 0)}
		var got strings.Builder
		for line := range strings.Lines(string(text)) {
			line = strings.TrimSpace(line)
			if line == "" || strings.HasPrefix(line, "#") {
				fmt.Fprintln(&got, line)
				continue
			}
			fmt.Fprintf(&got, "%-28s => %s\n", line, p.play(line))
		}
		name := strings.TrimPrefix(file, "testdata/")
		golden.Check(t, strings.TrimSuffix(name, ".steps")+".golden", got.String())
	}
}

type player struct {
	book  *Store
	now   time.Time
	index uint64
}

func (p *player) play(line string) string {
	words := strings.Fields(line)
	p.index++
	key := Key{Customer: "crews", Service: "plant-ledger", Key: words[1]}
	switch words[0] {
	case "begin": // key, attempt, digest
		var digest uint64
		fmt.Sscan(words[3], &digest)
		begun := p.book.Begin(p.index, Begin{Key: key, Attempt: words[2], Digest: digest, Retention: time.Hour, At: p.now})
		if begun.Error != nil {
			return begun.Error.Error()
		}
		return fmt.Sprintf("go %v, intent %d, state %d, status %d", begun.MayRun, begun.Record.BeginIndex, begun.Record.State, begun.Record.Response.Status)
	case "wait":
		length, _ := time.ParseDuration(words[1])
		p.now = p.now.Add(length)
		return "later"
	}
	finish := Finish{Key: key, At: p.now}
	switch words[0] {
	case "done": // key, intent
		fmt.Sscan(words[2], &finish.BeginIndex)
		finish.Response.Status = 201
	case "notrun": // key, intent
		fmt.Sscan(words[2], &finish.BeginIndex)
		finish.NotRun = true
	case "abandon": // key, attempt
		finish.Attempt = words[2]
		finish.NotRun = true
	}
	if finished := p.book.Finish(finish); finished.Error != nil {
		return finished.Error.Error()
	}
	return "noted"
}
