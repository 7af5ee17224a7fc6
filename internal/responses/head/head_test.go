package head_test

import (
	"testing"

	"endivedeck.example/internal/responses/head"
)

func TestCheckStatus(t *testing.T) {
	for code, want := range map[int]bool{-1: false, 0: false, 99: false, 100: true, 200: true, 599: true, 600: false, 999: false} {
		if got := head.CheckStatus(code) == nil; got != want {
			t.Errorf("status %03d: got valid %t, want %t", code, got, want)
		}
	}
}
