package command

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"endivedeck.example/golden"
)

// TestCommands runs command lines that need no running system; the golden file
// has their output and exit codes.
func TestCommands(t *testing.T) {
	folder := t.TempDir()
	files := map[string]string{
		"a.log": `{"request":"r1","time":"2","instance":"entry-1","msg":"query","outcome":"whole"}` + "\n" +
			`{"request":"r2","time":"1","instance":"entry-1","msg":"query"}` + "\n" + "not JSON\n",
		"b.log":      `{"request":"r1","time":"1","instance":"entry-2","msg":"routing","backend":"engine-1","reason":"why"}` + "\n",
		"empty.json": "",
		"c.jsonc":    `{"customer": "crews", "classes": {"chat": {"rate": 1}}}`,
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	lines := []string{
		"explain r1 a.log b.log",
		"explain r9 a.log",
		"explain",
		"preview",
		"preview -host h.example -path /a/ -prompt x",
		"preview -relay 127.0.0.1:1 -host h.example -path /a/",
		"preview -file a.log",
		"check empty.json",
		"contract hash key-of-the-crews",
		"contract put c.jsonc",
		"contract -replaces 0 put c.jsonc",
		"change -role sideways role engine-1",
		"replay -make no-such",
		"replay -make calm -policy expected",
		"trace -name nothing",
		"no-such-command",
	}
	var got strings.Builder
	for _, line := range lines {
		var out bytes.Buffer
		args := strings.Fields(line)
		for i, arg := range args {
			if _, ok := files[arg]; ok {
				args[i] = filepath.Join(folder, arg)
			}
		}
		flags := flag.NewFlagSet("endivedeck", flag.ContinueOnError)
		flags.SetOutput(io.Discard)
		status := Run(context.Background(), flags, args, &out)
		fmt.Fprintf(&got, "$ endivedeck %s\n%sexit %d\n", line, out.String(), status)
	}
	golden.Check(t, "commands.golden", got.String())
}
