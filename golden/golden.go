// Package golden compares the output of tests with golden files under testdata.
//
// Run the tests with -update to rewrite the files. A change of a golden file is
// a change of a test and must be reviewed like one.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var updateFiles = flag.Bool("update", false, "rewrite the golden files")

// Check fails the test if got differs from the content of testdata/name.
func Check(t testing.TB, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *updateFiles {
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

// Inputs returns the paths of the files under testdata that match pattern,
// sorted. It fails the test if there are none.
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
