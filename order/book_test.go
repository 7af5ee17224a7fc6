package order

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestStore runs the scripts under testdata, one command per line, and compares
// the results with the golden files. The scripts guard against an order that
// runs twice because it is sent again, because the response to its Begin was
// lost, or because the Begin arrives late. They also show when records expire.
func TestStore(t *testing.T) {
	for _, file := range golden.Inputs(t, "*.steps") {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		r := &scriptRunner{store: NewStore(), now: time.Unix(1_800_000_000, 0)}
		var got strings.Builder
		for line := range strings.Lines(string(text)) {
			line = strings.TrimSpace(line)
			if line == "" || strings.HasPrefix(line, "#") {
				fmt.Fprintln(&got, line)
				continue
			}
			fmt.Fprintf(&got, "%-28s => %s\n", line, r.run(line))
		}
		name := strings.TrimPrefix(file, "testdata/")
		golden.Check(t, strings.TrimSuffix(name, ".steps")+".golden", got.String())
	}
}

type scriptRunner struct {
	store *Store
	now   time.Time
	index uint64
}

func (r *scriptRunner) run(line string) string {
	fields := strings.Fields(line)
	r.index++
	key := Key{Customer: "crews", Service: "plant-ledger", Key: fields[1]}
	switch fields[0] {
	case "begin": // key, attempt, digest
		var digest uint64
		fmt.Sscan(fields[3], &digest)
		result := r.store.Begin(r.index, Begin{Key: key, Attempt: fields[2], Digest: digest, Retention: time.Hour, At: r.now})
		if result.Error != nil {
			return result.Error.Error()
		}
		return fmt.Sprintf("may run %v, begin index %d, state %d, status %d", result.MayRun, result.Record.BeginIndex, result.Record.State, result.Record.Response.Status)
	case "wait":
		length, _ := time.ParseDuration(fields[1])
		r.now = r.now.Add(length)
		return "ok"
	}
	finish := Finish{Key: key, At: r.now}
	switch fields[0] {
	case "done": // key, begin index
		fmt.Sscan(fields[2], &finish.BeginIndex)
		finish.Response.Status = 201
	case "notrun": // key, begin index
		fmt.Sscan(fields[2], &finish.BeginIndex)
		finish.NotRun = true
	case "abandon": // key, attempt
		finish.Attempt = fields[2]
		finish.NotRun = true
	}
	if result := r.store.Finish(finish); result.Error != nil {
		return result.Error.Error()
	}
	return "ok"
}
