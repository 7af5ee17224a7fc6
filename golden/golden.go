// Package golden compares what a test saw with a file under testdata.
//
// Run the tests with -update to write the files anew; a change of a golden
// file is read like any other change of a test.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write golden files anew")

// Check fails the test when got differs from the file testdata/name.
func Check(t testing.TB, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got:\n%s\nwant:\n%s", file, got, want)
	}
}

// Inputs returns the files under testdata that match pattern, by name.
func Inputs(t testing.TB, pattern string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", pattern))
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatalf("no file under testdata matches %s", pattern)
	}
	return files
}
