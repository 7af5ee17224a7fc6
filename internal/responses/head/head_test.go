package head_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/golden"
	"endivedeck.example/internal/responses/head"
)

const ok = "HTTP/1.1 200 OK\r\n"

// texts are the beginnings of responses.
var texts = []string{
	ok + "\r\n",
	ok + "\r\nA B: 1\r\n",
	ok + "A: 1\r\nB:2\r\n\r\nbody",
	ok + "A: 1\r\n",
	ok + "A",
	strings.ReplaceAll(ok+"A: 1\r\n\r\n", "\r\n", "\n"),
	ok + "!#$%&'*+-.^_`|~09azAZ: \t:\x00\x01 \r\n\r\n",
	"HTTP/1.1 102 Processing\r\n\r\n",
	"HTTP/1.1 102\n\n" + ok + "\r\n",
	"HTTP/1.1  103 Hints\r\nA: 1\r\n\r\n" + ok + "A B: 1\r\n\r\n",
	"HTTP/1.1" + strings.Repeat(" ", 100) + "103 Hints\r\n\r\n" + ok + "A B: 1\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\n\r\nA B",
	"HTTP/1.1 000\r\n\r\nA B",
	strings.Repeat("x", 1000) + "\r\n\r\n",
	"\r\n\r\n",
	ok + "A B: 1\r\n\r\n",
	ok + "A : 1\r\n\r\n",
	ok + " A: 1\r\n\r\n",
	ok + "A: 1\r\n B: 1\r\n\r\n",
	ok + "A: 1\r\n\tB: 1\r\n\r\n",
	ok + " \r\n\r\n",
	ok + ": 1\r\n\r\n",
	ok + "A\r\n\r\n",
	ok + "A\rB: 1\r\n\r\n",
	ok + "\rA: 1\r\n\r\n",
	ok + "\r\r\n",
	ok + "A\x00B: 1\r\n\r\n",
	ok + "A\x7f: 1\r\n\r\n",
	ok + "A\x80: 1\r\n\r\n",
	ok + "(A): 1\r\n\r\n",
}

// result feeds the text in pieces of the given size and describes the outcome.
func result(text string, size int) string {
	var c head.Checker
	for ; text != ""; text = text[min(size, len(text)):] {
		if err := c.Feed([]byte(text[:min(size, len(text))])); err != nil {
			return err.Error()
		}
	}
	if c.Done() {
		return "done"
	}
	return "more expected"
}

// TestChecker checks heads that arrive whole, and in pieces of each size.
func TestChecker(t *testing.T) {
	var got strings.Builder
	for _, text := range texts {
		whole := result(text, len(text))
		fmt.Fprintf(&got, "%.80q: %s\n", text, whole)
		for size := 1; size < len(text); size++ {
			if got := result(text, size); got != whole {
				t.Errorf("%.80q in pieces of %d bytes: got %s, want %s", text, size, got, whole)
			}
		}
	}
	golden.Check(t, "checker.golden", got.String())
}

func TestCheckStatus(t *testing.T) {
	for code, want := range map[int]bool{-1: false, 0: false, 99: false, 100: true, 200: true, 599: true, 600: false, 999: false} {
		if got := head.CheckStatus(code) == nil; got != want {
			t.Errorf("status %03d: got valid %t, want %t", code, got, want)
		}
	}
}

// FuzzChecker compares the checker with net/http, which accepts more names but must agree
// where the head ends.
func FuzzChecker(f *testing.F) {
	for _, text := range texts {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := bufio.NewReader(strings.NewReader(text))
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode/100 == 1 {
			return
		}
		rest, err := io.ReadAll(reader)
		if err != nil {
			t.Fatal(err)
		}
		headLength := len(text) - len(rest)
		var c head.Checker
		if err := c.Feed([]byte(text[:headLength-1])); err != nil {
			return
		}
		if c.Done() {
			t.Errorf("%q: got done before the last byte of the head, want more expected", text)
		}
		if err := c.Feed([]byte(text[headLength-1:])); err != nil || !c.Done() {
			t.Errorf("%q: got done %t and error %v at the end of the head, want done", text, c.Done(), err)
		}
		for name := range response.Header {
			if strings.ContainsAny(name, " \t") {
				t.Errorf("%q: got the valid name %q, want an error", text, name)
			}
		}
	})
}
