package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"endivedeck.example/engine"
	"endivedeck.example/fault"
	"endivedeck.example/message"
)

// scriptedEngine is an engine that responds to each request with the next step of a
// script: the text of a response, or "hang" to send nothing more until the client
// closes the connection. A text may end with "<hang>" for the same after it, or with
// "<end>" for the end of the connection.
type scriptedEngine struct {
	listener net.Listener
	stray    string // written before each response but the first on a connection

	mu       sync.Mutex
	script   []string
	requests []string
}

func newScriptedEngine(t *testing.T, script ...string) *scriptedEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &scriptedEngine{listener: listener, script: script}
	go e.run()
	t.Cleanup(func() { _ = listener.Close() })
	return e
}

// run accepts connections until the listener is closed.
func (e *scriptedEngine) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.loop(c)
	}
}

// loop follows the script for the requests on one connection.
func (e *scriptedEngine) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for stray := ""; ; stray = e.stray {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text, ends := strings.CutSuffix(e.nextStep(r), "<end>")
		text, hangs := strings.CutSuffix(text, "<hang>")
		if _, err := io.WriteString(c, stray+text); err != nil {
			return
		}
		if hangs {
			_, _ = in.ReadByte() // returns when the client closes the connection
			return
		}
		if ends {
			return
		}
	}
}

func (e *scriptedEngine) nextStep(r *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, r.Method+" "+r.RequestURI)
	if len(e.script) == 0 {
		return "<hang>"
	}
	step := e.script[0]
	e.script = e.script[1:]
	return step
}

// chunked returns the beginning of a response that breaks off after text.
func chunked(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
}

// response returns a response with a length.
func response(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// generate runs a request with the given ID and returns its result as text.
func generate(e engine.Engine, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var text strings.Builder
	err := e.Generate(ctx, message.GenerateRequest{ID: id, MaxTokens: 8}, func(c message.Chunk) error {
		if c.ID == id {
			text.WriteString(c.Text)
		}
		return nil
	})
	if err != nil {
		return fmt.Sprintf("%q, %s, ran %s", text.String(), fault.KindOf(err), fault.FromError(err).Ran)
	}
	return fmt.Sprintf("%q", text.String())
}

// TestRefusalWrittenAgain has an engine write a refusal once more where the response to
// the next request is due. That request runs, so its result must not be "not run".
func TestRefusalWrittenAgain(t *testing.T) {
	refusal := response(503, `{"kind":"overloaded","ran":"no","text":"full"}`)
	answer := response(200, `{"id":"two","offset":0,"tokens":1,"text":"good"}`+"\n"+`{"id":"two","offset":1,"end":true,"reason":"stop"}`+"\n")
	s := newScriptedEngine(t, refusal, answer)
	s.stray = refusal
	e := engine.NewLinesClient(s.listener.Addr().String())
	if got, want := generate(e, "one"), `"", overloaded, ran no`; got != want {
		t.Errorf("first request: got %s, want %s", got, want)
	}
	if got, want := generate(e, "two"), `"good"`; got != want {
		t.Errorf("second request: got %s, want %s", got, want)
	}
}

// TestRefusedResumptionSaysNotRun has an engine fall silent after it got a request, and
// refuse to go on with the answer. The request may have run, unless the engine doesn't
// know it and has sent nothing.
func TestRefusedResumptionSaysNotRun(t *testing.T) {
	refusal := response(503, `{"kind":"overloaded","ran":"no","text":"full"}`)
	unknown := response(404, `{"kind":"not_found","ran":"no","text":"no such stream"}`)
	line := `{"id":"one","offset":0,"tokens":1,"text":"a"}` + "\n"
	begun := chunked(line) + "<hang>"
	for _, c := range []struct {
		name   string
		script []string
		want   string
	}{
		{"refusal", []string{begun, refusal}, `"a", overloaded, ran unknown`},
		{"refusal before a token", []string{"<hang>", refusal}, `"", overloaded, ran unknown`},
		{"refusal by kind only", []string{begun, response(503, `{"kind":"unavailable"}`)}, `"a", unavailable, ran unknown`},
		{"silent twice", []string{begun, "<hang>", refusal}, `"a", overloaded, ran unknown`},
		{"lost and refused", []string{"<hang>", unknown, refusal}, `"", overloaded, ran no`},
		{"forgotten and refused", []string{begun, unknown, refusal}, `"a", overloaded, ran unknown`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedEngine(t, c.script...)
			if got := generate(engine.NewLinesClient(s.listener.Addr().String()), "one"); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestErrorTextInAnswer has an engine fall silent in the middle of an answer and then
// respond with something else than the rest. Nothing of it may be passed on, and the
// answer must not look complete.
func TestErrorTextInAnswer(t *testing.T) {
	line := `{"id":"one","offset":0,"tokens":1,"text":"a"}` + "\n"
	begun := chunked(line) + "<hang>"
	for _, c := range []struct{ name, next string }{
		{"empty", response(200, "")},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"web page", response(200, "<html>\n\n<h1>Bad Gateway</h1>\n")},
		{"error object", response(200, `{"kind":"overloaded","ran":"no","text":"full"}`+"\n")},
		{"error status", response(500, `{"id":"one","offset":1,"tokens":1,"text":"bad","end":true}`+"\n")},
		{"end of another answer", response(200, `{"id":"two","offset":1,"end":true}`+"\n")},
		{"text without tokens", response(200, `{"text":"bad"}`+"\n")},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedEngine(t, begun, c.next)
			if got, want := generate(engine.NewLinesClient(s.listener.Addr().String()), "one"), `"a", broken, ran unknown`; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// TestEndedEngineIsReported has an engine break the connection over which it got a
// request, and checks that this is told apart from refusals and damaged answers.
func TestEndedEngineIsReported(t *testing.T) {
	line := `{"id":"one","offset":0,"tokens":1,"text":"a"}` + "\n"
	for _, c := range []struct {
		name   string
		script []string
		want   bool
	}{
		{"before the head", []string{"<end>"}, true},
		{"within the head", []string{"HTTP/1.1 200 OK\r\nTransfer-<end>"}, true},
		{"before a token", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n<end>"}, true},
		{"after a token", []string{chunked(line) + "<end>"}, true},
		{"within a line", []string{chunked(line+line[:20]) + "<end>"}, true},
		{"after a token, as a complete response", []string{response(200, line)}, true},
		{"after silence", []string{chunked(line) + "<hang>", "<end>"}, true},
		{"refusal", []string{response(503, `{"kind":"overloaded","ran":"no","text":"full"}`)}, false},
		{"refusal that claims it", []string{response(502, `{"kind":"broken","EngineEnded":true}`)}, false},
		{"error status", []string{response(500, "")}, false},
		{"damaged line", []string{chunked("}\n") + "<hang>"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedEngine(t, c.script...)
			discard := func(message.Chunk) error { return nil }
			err := engine.NewLinesClient(s.listener.Addr().String()).Generate(t.Context(), message.GenerateRequest{ID: "one", MaxTokens: 8}, discard)
			if err == nil {
				t.Fatal("got a complete answer, want an error")
			}
			if got := fault.FromError(err).EngineEnded; got != c.want {
				t.Errorf("got engine ended %v for %v, want %v", got, err, c.want)
			}
		})
	}
	t.Run("no connection", func(t *testing.T) {
		s := newScriptedEngine(t)
		_ = s.listener.Close()
		err := engine.NewLinesClient(s.listener.Addr().String()).Generate(t.Context(), message.GenerateRequest{ID: "one"}, nil)
		if err == nil || fault.FromError(err).EngineEnded {
			t.Errorf("got %v, want an error that reports no ended engine", err)
		}
	})
}

// TestOddLoadReport has an engine report load that no engine has. Entries add up the
// load of all engines, so such a report must not get to them.
func TestOddLoadReport(t *testing.T) {
	const good = `{"running":1,"queued":2,"slots":4,"freePieces":100,"ageMs":5,"state":"serving","pieceTokens":16}`
	for _, c := range []struct{ old, replacement string }{
		{`"running":1`, `"running":-1`},
		{`"running":1`, `"running":4611686018427387904`},
		{`"running":1`, `"running":1e400`},
		{`"queued":2`, `"queued":-2`},
		{`"queued":2`, `"queued":4611686018427387904`},
		{`"slots":4`, `"slots":-4`},
		{`"slots":4`, `"slots":4611686018427387904`},
		{`"freePieces":100`, `"freePieces":-100`},
		{`"ageMs":5`, `"ageMs":-5`},
		{`"ageMs":5`, `"ageMs":9223372036854775807`},
		{`"pieceTokens":16`, `"pieceTokens":-16`},
		{good, strings.Repeat("[", 100_000)},
		{good, good},
	} {
		s := newScriptedEngine(t, response(200, strings.Replace(good, c.old, c.replacement, 1)))
		state, err := engine.NewLinesClient(s.listener.Addr().String()).State(t.Context())
		if want := c.old == c.replacement; (err == nil) != want {
			t.Errorf("%.40s: got %+v, %v, want accepted %v", c.replacement, state, err, want)
		}
	}
}
