package engine_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"endivedeck.example/engine"
	"endivedeck.example/fault"
	"endivedeck.example/internal/responses/earlyserver"
	"endivedeck.example/message"
)

// brokenCalls are calls with the bodies of successful responses and of a refusal.
var brokenCalls = []struct {
	name, body string
	call       func(context.Context, engine.Engine) error
}{
	{"answer", `{"id":"one","offset":0,"tokens":1,"text":"a ","end":true,"reason":"stop"}` + "\n", generateOne},
	{"order", "", func(ctx context.Context, e engine.Engine) error { return e.Order(ctx, engine.Order{FencingToken: 1}) }},
	{"load report", `{"slots":4,"state":"serving"}`, func(ctx context.Context, e engine.Engine) error { _, err := e.State(ctx); return err }},
	{"refusal", `{"kind":"overloaded","ran":"no","text":"full"}`, generateOne},
}

func generateOne(ctx context.Context, e engine.Engine) error {
	return e.Generate(ctx, message.GenerateRequest{ID: "one", MaxTokens: 8}, func(message.Chunk) error { return nil })
}

// checkBroken has an engine send a head with each of the bodies. Neither a request nor an
// order may count as done then, and nothing in the body may count as a refusal. In head,
// LENGTH stands for the length of the body.
func checkBroken(t *testing.T, name, head string) {
	t.Helper()
	for _, c := range brokenCalls {
		s := newScriptedEngine(t, strings.ReplaceAll(head, "LENGTH", strconv.Itoa(len(c.body)))+"\r\n"+c.body+"<end>")
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		err := c.call(ctx, engine.NewLinesClient(s.listener.Addr().String()))
		cancel()
		if got, want := fault.KindOf(err), fault.Broken; got != want {
			t.Errorf("%s, %s: got error %v, want kind %q", c.name, name, err, want)
		} else if got, want := fault.FromError(err).Ran, fault.MaybeRun; got != want {
			t.Errorf("%s, %s: got ran %s, want %s", c.name, name, got, want)
		}
	}
}

// TestInvalidStatus has an engine respond with statuses of no successful response.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		checkBroken(t, "status "+status, "HTTP/1.1 "+status+" Oops\r\nContent-Length: LENGTH\r\n")
	}
}

// TestInvalidFieldName has an engine respond with heads in which the name of a field holds
// a blank or a control byte.
func TestInvalidFieldName(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nA: 1\r\n"
	for name, line := range map[string]string{
		"blank in a name":      "A B: 1\r\nContent-Length: LENGTH\r\n",
		"blank after the name": "Content-Length : LENGTH\r\n",
		"blank before a name":  " Content-Length: LENGTH\r\n",
		"tab before a name":    "\tContent-Length: LENGTH\r\n",
		"NUL in a name":        "A\x00B: 1\r\nContent-Length: LENGTH\r\n",
	} {
		checkBroken(t, name, begin+line)
		checkBroken(t, name+", after an interim response", "HTTP/1.1 102 Processing\r\n\r\n"+begin+line)
	}
}

// TestResetDuringUpload has an engine respond to long uploads before it has read them. No
// import may count as done, and no request as refused, by a response without a length that
// ends with a reset.
func TestResetDuringUpload(t *testing.T) {
	const (
		uploads = 40 // for each case; whether the reset is noticed by a read or a write varies
		done    = "HTTP/1.1 200 OK\r\n\r\n{}"
		refused = "HTTP/1.1 503 Full\r\n\r\n" + `{"kind":"overloaded","ran":"no","text":"full"}`
	)
	for _, c := range []struct {
		name, response string
		end            earlyserver.End
		want           fault.Kind
		wantRan        fault.Ran
	}{
		{"done, reset", done, earlyserver.Reset, fault.Broken, fault.MaybeRun},
		{"refused, reset", refused, earlyserver.Reset, fault.Broken, fault.MaybeRun},
		{"done, upload read after the end", done, earlyserver.CloseRead, "", ""},
		{"done, upload read before the end", done, earlyserver.ReadClose, "", ""},
		{"refused, upload read", refused, earlyserver.ReadClose, fault.Overloaded, fault.NotRun},
	} {
		s := earlyserver.New(t, earlyserver.Options{Response: c.response, End: c.end, Pause: 5 * time.Millisecond}) // for the client to read the head
		s.Release()
		e := engine.NewLinesClient(s.Address()).(engine.CacheTransfer)
		for range uploads {
			err := e.Import(t.Context(), make([]byte, 16<<20))
			if got := fault.KindOf(err); got != c.want {
				t.Errorf("%s: got error %v, want kind %q", c.name, err, c.want)
			} else if err != nil && fault.FromError(err).Ran != c.wantRan {
				t.Errorf("%s: got ran %s, want %s", c.name, fault.FromError(err).Ran, c.wantRan)
			}
		}
	}
}
