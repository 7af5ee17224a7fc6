package command

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/responses/earlyserver"
)

// scriptedProcess is a process of the system that responds to one request with a text and
// closes the connection.
type scriptedProcess struct {
	listener net.Listener
	response string
}

func newScriptedProcess(t *testing.T, response string) *scriptedProcess {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &scriptedProcess{listener: listener, response: response}
	go p.run()
	return p
}

// run serves one connection.
func (p *scriptedProcess) run() {
	c, err := p.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, p.response)
}

// checkBroken has a control instance and a relay send a response that no command may
// report as a success.
func checkBroken(t *testing.T, name, response string) {
	t.Helper()
	o := &operatorClient{addresses: newScriptedProcess(t, response).listener.Addr().String()}
	if _, err := o.send(t.Context(), http.MethodGet, "/status", nil, nil); err == nil {
		t.Errorf("%s: got success of an operator's call, want an error", name)
	} else if got, want := fault.FromError(err).Ran, fault.MaybeRun; got != want {
		t.Errorf("%s: got ran %s of an operator's call, want %s", name, got, want)
	}
	p := &previewCommand{relay: newScriptedProcess(t, response).listener.Addr().String()}
	if got, err := p.ask(t.Context()); err == nil {
		t.Errorf("%s: got the preview %+v, want an error", name, got)
	}
}

func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		checkBroken(t, "status "+status, fmt.Sprintf("HTTP/1.1 %s Oops\r\nContent-Length: 2\r\n\r\n{}", status))
	}
}

func TestInvalidFieldName(t *testing.T) {
	for name, line := range map[string]string{
		"blank in a name":      "A B: 1\r\nContent-Length: 2",
		"blank after the name": "Content-Length : 2",
		"blank before a name":  " Content-Length: 2",
		"NUL in a name":        "A\x00B: 1\r\nContent-Length: 2",
	} {
		checkBroken(t, name, "HTTP/1.1 200 OK\r\nA: 1\r\n"+line+"\r\n\r\n{}")
	}
}

// TestResetDuringUpload has a control instance respond to a long contract before it has
// read it, without a length, and reset the connection.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 40                                                                                                                       // whether the reset is noticed by a read or a write varies
	s := earlyserver.New(t, earlyserver.Options{Response: "HTTP/1.1 200 OK\r\n\r\n{}", End: earlyserver.Reset, Pause: 5 * time.Millisecond}) // for the client to read the head
	s.Release()
	o := &operatorClient{addresses: s.Address()}
	for range uploads {
		_, err := o.send(t.Context(), http.MethodPut, "/contract", nil, make([]byte, 16<<20))
		if err == nil {
			t.Error("got success, want an error")
		} else if got, want := fault.FromError(err).Ran, fault.MaybeRun; got != want {
			t.Errorf("got ran %s, want %s", got, want)
		}
	}
}
