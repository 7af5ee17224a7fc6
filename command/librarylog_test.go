package command

import (
	"bytes"
	"encoding/json"
	"log"
	"testing"

	"endivedeck.example/kernel"
)

// TestLibraryLog checks that what a library prints becomes a JSON log line with the
// fields of the process.
func TestLibraryLog(t *testing.T) {
	previousWriter, previousFlags := log.Writer(), log.Flags()
	defer func() {
		log.SetOutput(previousWriter)
		log.SetFlags(previousFlags)
	}()
	process := kernel.DefaultProcessSettings()
	process.Role = "relay"
	process.Instance = "edge-1"
	var out bytes.Buffer
	if err := redirectLibraryLog(process, &out); err != nil {
		t.Fatal(err)
	}
	log.Print("failed to increase receive buffer size")
	var line map[string]string
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("got %q, want a JSON object: %v", out.String(), err)
	}
	for field, want := range map[string]string{"level": "warning", "msg": "failed to increase receive buffer size", "instance": "edge-1", "role": "relay", "source": "library"} {
		if got := line[field]; got != want {
			t.Errorf("%s: got %q, want %q", field, got, want)
		}
	}
}
