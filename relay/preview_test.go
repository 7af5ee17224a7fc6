package relay_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/command"
	"endivedeck.example/contract"
	"endivedeck.example/internal/operators/access"
	"endivedeck.example/relay"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

const operatorKey = "key-of-an-operator"

// newPreviewTestbed returns a testbed whose second relay serves previews.
func newPreviewTestbed(t *testing.T, list []routes.Route, servers ...*backendServer) (*testbed, *relay.Relay) {
	t.Helper()
	t.Setenv("ENDIVEDECK_OPERATOR_KEY", operatorKey)
	b := newTestbed(t, list, servers...)
	return b, b.startRelayWith("second", "near", func(s *relay.Settings) {
		s.OperatorKeys = []access.Operator{{Name: "duty", Hash: contract.HashKey(operatorKey)}}
	})
}

// preview runs the command with a relay's address and returns its output.
func preview(r *relay.Relay, args ...string) (string, int) {
	var out bytes.Buffer
	flags := flag.NewFlagSet("endivedeck", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	status := command.Run(context.Background(), flags, append([]string{"preview", "-relay", r.ReadyAddress()}, args...), &out)
	return out.String(), int(status)
}

// TestPreviewTellsTheServer compares what the command says with where the same request
// then goes, for requests with and without prompts.
func TestPreviewTellsTheServer(t *testing.T) {
	good := streamResponse(event(1))
	servers := []*backendServer{
		{name: "p", stage: roster.Prefill, domain: "near", script: []string{plainResponse(200, `{"kvHandle":"h7","tokens":9000,"version":1}`)}},
		{name: "d1", stage: roster.Decode, domain: "far", script: []string{good}},
		{name: "d2", stage: roster.Decode, domain: "near", script: []string{good}},
	}
	b, r := newPreviewTestbed(t, oneRoute(routes.Stream, 1, false), servers...)
	for _, c := range []struct {
		header string
		flags  []string
	}{
		{"", nil},
		{longPromptHeader, []string{"-prompt", "a1:6000,b2:3000", "-answer", "100"}},
		{"Token-Counts: 200,80\r\nPrompt-Prefix: a1:100,b2:100\r\n", []string{"-prompt", "a1:100,b2:100", "-answer", "80"}},
	} {
		text, status := preview(r, append([]string{"-host", "crews.example", "-path", "/a/"}, c.flags...)...)
		if status != 0 {
			t.Fatalf("preview of %q: got exit code %d, want 0", c.header, status)
		}
		before := map[string]int{}
		for _, s := range servers {
			before[s.name] = s.requestCount()
		}
		if got := b.sendTo(r, http.MethodPost, "/a/", c.header, "x"); !strings.HasPrefix(got, "200 ") {
			t.Fatalf("request %q: got %s, want status 200", c.header, got)
		}
		for _, s := range servers {
			got := s.requestCount() > before[s.name]
			_, word, _ := strings.Cut(text, "\n")
			word, _, _ = strings.Cut(word, ":")
			if want := strings.Contains(word+" ", " "+s.name+" ") || strings.Contains(word, " "+s.name+","); got != want {
				t.Errorf("request %q at %s: got %v, but the preview said\n%s", c.header, s.name, got, text)
			}
		}
	}
}

// TestPreviewRefusals checks what the command says of requests that would be refused.
func TestPreviewRefusals(t *testing.T) {
	b, r := newPreviewTestbed(t, oneRoute(routes.Stream, 1, false))
	b.waitFor("the relay has received the routes", func() bool { // newPreviewTestbed waits for servers only
		text, _ := preview(r, "-host", "crews.example", "-path", "/a/")
		return !strings.Contains(text, "version 0 of the routes")
	})
	for _, c := range []struct{ path, want string }{
		{"/nowhere/", "refused (not_found): no route for this host and path"},
		{"/a/", `refused (unavailable): no backend server of service "assist" is available`},
	} {
		text, status := preview(r, "-host", "crews.example", "-path", c.path)
		if status != 0 || !strings.Contains(text, c.want) {
			t.Errorf("%s: got exit code %d and\n%swant 0 and %q", c.path, status, text, c.want)
		}
	}
	if got := b.sendTo(r, http.MethodPost, "/a/", "", "x"); !strings.HasPrefix(got, "503 ") {
		t.Errorf("the request: got %s, want status 503", got)
	}
}

// TestPreviewBeforeRoutes guards against a preview that says that no route matches where the
// relay has no routes at all yet, so that the request would be refused as unavailable.
func TestPreviewBeforeRoutes(t *testing.T) {
	b := newTestbed(t, oneRoute(routes.Stream, 1, false))
	b.mu.Lock()
	b.hold = make(chan struct{})
	b.mu.Unlock()
	t.Setenv("ENDIVEDECK_OPERATOR_KEY", operatorKey)
	r := b.newRelayWith("second", "near", func(s *relay.Settings) {
		s.OperatorKeys = []access.Operator{{Name: "duty", Hash: contract.HashKey(operatorKey)}}
	})
	if err := r.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Stop(t.Context()) }()
	defer close(b.hold)
	text, status := preview(r, "-host", "crews.example", "-path", "/a/")
	if want := "refused (unavailable): the relay has not received any routes yet"; status != 0 || !strings.Contains(text, want) {
		t.Errorf("got exit code %d and\n%swant 0 and %q", status, text, want)
	}
	if got := b.sendTo(r, http.MethodPost, "/a/", "", "x"); !strings.HasPrefix(got, "503 ") {
		t.Errorf("the request: got %s, want status 503", got)
	}
}

// TestPreviewIsGuarded checks that only operators get previews, at no address but that of the
// readiness check, and only where the settings name operators.
func TestPreviewIsGuarded(t *testing.T) {
	b, r := newPreviewTestbed(t, oneRoute(routes.Idempotent, 1, false), &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
	for _, c := range []struct {
		address, key string
		want         string
	}{
		{r.ReadyAddress(), operatorKey, "200"},
		{r.ReadyAddress(), "another-key", "401"},
		{r.ReadyAddress(), "", "401"},
		{r.Address(), operatorKey, "404"},
		{b.relay.ReadyAddress(), operatorKey, "200 ready"},
	} {
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s", c.address, relay.PreviewPath), strings.NewReader(`{"host":"crews.example","path":"/a/"}`))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+c.key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		got := fmt.Sprintf("%d %s", response.StatusCode, text)
		if !strings.HasPrefix(got, c.want) || c.want != "200" && strings.Contains(got, `"placement"`) {
			t.Errorf("%s with key %q: got %s, want %s", c.address, c.key, got, c.want)
		}
	}
	t.Setenv("ENDIVEDECK_OPERATOR_KEY", "")
	if text, status := preview(r, "-host", "crews.example", "-path", "/a/"); status != int(command.ExitRefused) {
		t.Errorf("without a key: got exit code %d and %q, want %d", status, text, command.ExitRefused)
	}
	if text, status := preview(b.relay, "-host", "crews.example", "-path", "/a/"); status != 1 {
		t.Errorf("at a relay without operators: got exit code %d and %q, want 1", status, text)
	}
}
