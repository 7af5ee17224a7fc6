package keys

import (
	"crypto/x509"
	"os"
	"strings"
	"testing"
	"time"
)

// TestReload replaces the trusted authorities of an instance. An authority that was
// withdrawn must not be trusted again, also if the file put in place is older than
// the instance's certificate, and files that can't be read are reported and leave
// the earlier ones in use.
func TestReload(t *testing.T) {
	first, err := NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	second, err := NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	files, err := first.Issue("entry-1")
	if err != nil {
		t.Fatal(err)
	}
	var failures []string
	credentials, err := Load(files, func(err error) { failures = append(failures, err.Error()) })
	if err != nil {
		t.Fatal(err)
	}
	trusts := func(a *Authority) bool {
		credentials.checkedAt = time.Time{} // the next look at the files is due
		_, roots := credentials.current()
		_, err := a.certificate.Verify(x509.VerifyOptions{Roots: roots})
		return err == nil
	}
	check := func(step string, wantFirst, wantSecond bool) {
		t.Helper()
		if got := trusts(first); got != wantFirst {
			t.Errorf("%s: the first authority is trusted: got %v, want %v", step, got, wantFirst)
		}
		if got := trusts(second); got != wantSecond {
			t.Errorf("%s: the second authority is trusted: got %v, want %v", step, got, wantSecond)
		}
	}
	check("at the start", true, false)

	text, err := os.ReadFile(second.folder + "/authority.pem")
	if err != nil {
		t.Fatal(err)
	}
	old := time.Now().Add(-24 * time.Hour)
	replace := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(files.Authority, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(files.Authority, old, old); err != nil {
			t.Fatal(err)
		}
	}
	replace(text)
	check("replaced by an older file", false, true)

	replace([]byte("damaged"))
	check("damaged", false, true)
	if len(failures) != 1 || !strings.Contains(failures[0], "no certificate in") {
		t.Errorf("reported failures: got %q, want one about a file without a certificate", failures)
	}
}
