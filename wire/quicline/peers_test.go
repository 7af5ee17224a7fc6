package quicline_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/keys"
	"endivedeck.example/pool"
	"endivedeck.example/wire"
	"endivedeck.example/wire/quicline"
)

const testTimeout = 20 * time.Second

// logBuffer collects the log lines of the transports.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// refusedPeers returns the names and errors of the refusals that were logged.
func (b *logBuffer) refusedPeers() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for line := range strings.Lines(b.text.String()) {
		var fields struct{ Msg, Peer, Error string }
		if json.Unmarshal([]byte(line), &fields) == nil && fields.Msg == "a peer was refused" {
			list = append(list, fmt.Sprintf("%q: %s", fields.Peer, fields.Error))
		}
	}
	return list
}

func (b *logBuffer) entry() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(b)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logrus.NewEntry(logger)
}

// issueKeys issues keys for an instance from the authority in folder, which it
// creates if there is none.
func issueKeys(t *testing.T, folder, name string) *keys.Credentials {
	t.Helper()
	return issueKeysTrusting(t, folder, folder, name)
}

// issueKeysTrusting is like issueKeys, but the instance trusts the authority in
// the folder trusted.
func issueKeysTrusting(t *testing.T, folder, trusted, name string) *keys.Credentials {
	t.Helper()
	authority, err := keys.OpenAuthority(folder)
	if err != nil {
		authority, err = keys.NewAuthority(folder)
	}
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.Issue(name)
	if err != nil {
		t.Fatal(err)
	}
	files.Authority = filepath.Join(trusted, "authority.pem")
	credentials, err := keys.Load(files, func(error) {}) // fails while the test replaces one of the files
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}

// TestPeers guards against a listener accepting peers of another deployment or
// without a certificate. Each refusal must be logged with the name in the
// certificate. It also checks key rotation: without a restart, new connections
// use the reissued keys, and open connections continue.
func TestPeers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	folder, foreignFolder := t.TempDir(), t.TempDir()
	var logs logBuffer
	listener, err := quicline.New(issueKeys(t, folder, "control-1"), logs.entry()).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	workers := pool.New(4, 16)
	server := wire.NewServer(listener, workers, map[string]wire.Handler{
		"name": wire.HandlerFunc(func(call *wire.ServerCall) { call.Reply(call.Peer) }),
	})
	defer server.Close()
	callName := func(client *wire.Client) (name string, err error) {
		err = client.Call(ctx, listener.Address(), "name", nil, &name)
		return name, err
	}
	var text strings.Builder
	client := wire.NewClient(quicline.New(issueKeys(t, folder, "entry-1"), logs.entry()))
	defer client.Close()
	name, err := callName(client)
	fmt.Fprintf(&text, "a peer of this deployment: %s, refused %v\n", name, err != nil)

	foreign := wire.NewClient(quicline.New(issueKeysTrusting(t, foreignFolder, folder, "entry-1"), logs.entry()))
	defer foreign.Close()
	_, err = callName(foreign)
	fmt.Fprintf(&text, "a peer of another deployment: refused %v\n", err != nil)

	anonymous, err := quic.DialAddr(ctx, listener.Address(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"endivedeck/1"}}, nil)
	if err == nil {
		<-anonymous.Context().Done()
		err = context.Cause(anonymous.Context())
	}
	fmt.Fprintf(&text, "a peer without a certificate: refused %v\n", ctx.Err() == nil && err != nil)

	credentials := issueKeys(t, folder, "crew-assist-1")
	rotating := wire.NewClient(quicline.New(credentials, logs.entry()))
	defer rotating.Close()
	name, err = callName(rotating)
	fmt.Fprintf(&text, "before its keys are reissued: %s, refused %v\n", name, err != nil)
	old := credentials.SerialNumber()
	issueKeys(t, folder, "crew-assist-1")
	for credentials.SerialNumber() == old && interval.Sleep(ctx, 50*time.Millisecond) {
	}
	fmt.Fprintf(&text, "new keys are in force without a restart: %v\n", credentials.SerialNumber() != old)
	name, err = callName(rotating)
	fmt.Fprintf(&text, "over the open connection: %s, refused %v\n", name, err != nil)
	rotating.CloseConn(listener.Address())
	name, err = callName(rotating)
	fmt.Fprintf(&text, "over a new connection: %s, refused %v\n", name, err != nil)
	for len(logs.refusedPeers()) < 2 && interval.Sleep(ctx, 10*time.Millisecond) {
	}
	for _, refusal := range logs.refusedPeers() {
		fmt.Fprintf(&text, "logged as refused: %s\n", strings.SplitN(refusal, " (", 2)[0])
	}
	golden.Check(t, "peers.golden", text.String())
}
