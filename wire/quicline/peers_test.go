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

const longEnough = 20 * time.Second

// notes collects log lines.
type notes struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (n *notes) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text.Write(p)
}

func (n *notes) refusals() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []string
	for line := range strings.Lines(n.text.String()) {
		var fields struct{ Msg, Peer, Error string }
		if json.Unmarshal([]byte(line), &fields) == nil && fields.Msg == "a peer was refused" {
			list = append(list, fmt.Sprintf("%q: %s", fields.Peer, fields.Error))
		}
	}
	return list
}

func (n *notes) log() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(n)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logrus.NewEntry(logger)
}

func issue(t *testing.T, folder, name string) *keys.Chain {
	t.Helper()
	return issueTrusting(t, folder, folder, name)
}

// issueTrusting issues keys for an instance that trusts another authority.
func issueTrusting(t *testing.T, folder, trusted, name string) *keys.Chain {
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
	chain, err := keys.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	return chain
}

// TestPeers has peers of this deployment and of another call: the other's are
// refused, and the refusal is logged with the name that they claim. Keys that
// are issued anew are used by new connections without a restart, and the
// connection that is open goes on.
func TestPeers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), longEnough)
	defer cancel()
	ours, theirs := t.TempDir(), t.TempDir()
	var seen notes
	listener, err := quicline.New(issue(t, ours, "control-1"), seen.log()).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	workers := pool.New(4, 16)
	server := wire.NewServer(listener, workers, map[string]wire.Handler{
		"name": wire.HandlerFunc(func(x *wire.Exchange) { x.Reply(x.Peer) }),
	})
	defer server.Close()
	ask := func(client *wire.Client) (name string, err error) {
		err = client.Ask(ctx, listener.Address(), "name", nil, &name)
		return name, err
	}
	var text strings.Builder
	mine := wire.NewClient(quicline.New(issue(t, ours, "entry-1"), seen.log()))
	defer mine.Close()
	name, err := ask(mine)
	fmt.Fprintf(&text, "a peer of this deployment: %s, refused %v\n", name, err != nil)

	stranger := wire.NewClient(quicline.New(issueTrusting(t, theirs, ours, "entry-1"), seen.log()))
	defer stranger.Close()
	_, err = ask(stranger)
	fmt.Fprintf(&text, "a peer of another deployment: refused %v\n", err != nil)

	bare, err := quic.DialAddr(ctx, listener.Address(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"endivedeck/1"}}, nil)
	if err == nil {
		<-bare.Context().Done()
		err = context.Cause(bare.Context())
	}
	fmt.Fprintf(&text, "a peer without a certificate: refused %v\n", ctx.Err() == nil && err != nil)

	chain := issue(t, ours, "crew-assist-1")
	rotated := wire.NewClient(quicline.New(chain, seen.log()))
	defer rotated.Close()
	name, err = ask(rotated)
	fmt.Fprintf(&text, "before its keys are issued anew: %s, refused %v\n", name, err != nil)
	old := chain.Serial()
	issue(t, ours, "crew-assist-1")
	for chain.Serial() == old && interval.Sleep(ctx, 50*time.Millisecond) {
	}
	fmt.Fprintf(&text, "new keys are in force without a restart: %v\n", chain.Serial() != old)
	name, err = ask(rotated)
	fmt.Fprintf(&text, "over the open connection: %s, refused %v\n", name, err != nil)
	rotated.Drop(listener.Address())
	name, err = ask(rotated)
	fmt.Fprintf(&text, "over a new connection: %s, refused %v\n", name, err != nil)
	for len(seen.refusals()) < 2 && interval.Sleep(ctx, 10*time.Millisecond) {
	}
	for _, refusal := range seen.refusals() {
		fmt.Fprintf(&text, "logged as refused: %s\n", strings.SplitN(refusal, " (", 2)[0])
	}
	golden.Check(t, "peers.golden", text.String())
}
