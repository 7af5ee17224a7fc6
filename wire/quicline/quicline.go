// Package quicline is the transport over QUIC, with mutual TLS or, as
// "quic-open", with keys that prove nothing.
//
// QUIC gives each connection many streams without one blocking another, its
// own keep-alive and a bound on silence at both ends, which is how a path that
// something in between has forgotten is found while new connections work.
package quicline

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
	"endivedeck.example/kernel"
	"endivedeck.example/keys"
	"endivedeck.example/wire"
)

const (
	protocol   = "endivedeck/1"
	maxStreams = 1 << 16
	errorCode  = 1
)

var (
	_ wire.Transport = (*Transport)(nil)
	_ wire.Listener  = (*listener)(nil)
	_ wire.Conn      = (*conn)(nil)
	_ wire.Stream    = (*stream)(nil)
)

type (
	// Security makes the TLS configurations of both ends.
	Security interface {
		Server(protocol string, refused func(name string, reason error)) *tls.Config
		Client(protocol string) *tls.Config
	}

	// Transport is QUIC with the keys of one process.
	Transport struct {
		security Security
		log      *logrus.Entry
	}

	listener struct{ quic *quic.Listener }
	conn     struct{ quic *quic.Conn }
	stream   struct{ quic *quic.Stream }
)

func init() {
	wire.Transports.Register("quic", build)
	wire.Transports.Register("quic-open", buildOpen)
	for _, role := range []string{"entry", "sidecar", "control"} {
		kernel.AllowSection(role, "keys")
	}
}

// build builds the transport from the section "keys" of the settings.
func build(host *kernel.Host) (wire.Transport, error) {
	var files keys.Files
	if err := host.Section("keys", &files); err != nil {
		return nil, err
	}
	chain, err := keys.Load(files)
	if err != nil {
		return nil, err
	}
	return New(chain, host.Log), nil
}

// buildOpen builds a transport whose ends prove nothing to each other.
func buildOpen(host *kernel.Host) (wire.Transport, error) {
	throwaway, err := keys.NewThrowaway()
	if err != nil {
		return nil, err
	}
	return New(throwaway, host.Log), nil
}

// New returns a transport with the given security. With keys.Chain it proves
// itself and accepts peers whose certificate the same authority signed.
// Refused peers are logged.
func New(security Security, log *logrus.Entry) *Transport {
	return &Transport{security: security, log: log}
}

func (t *Transport) refused(name string, reason error) {
	t.log.WithField("peer", name).WithField("error", reason.Error()).Warn("a peer was refused")
}

// Listen implements wire.Transport.
func (t *Transport) Listen(address string) (wire.Listener, error) {
	l, err := quic.ListenAddr(address, t.security.Server(protocol, t.refused), config())
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.No, "listening on %s: %v", address, err)
	}
	return &listener{quic: l}, nil
}

// Dial implements wire.Transport.
func (t *Transport) Dial(ctx context.Context, address string) (wire.Conn, error) {
	c, err := quic.DialAddr(ctx, address, t.security.Client(protocol), config())
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.No, "dialling %s: %v", address, err)
	}
	return &conn{quic: c}, nil
}

func (l *listener) Accept(ctx context.Context) (wire.Conn, error) {
	c, err := l.quic.Accept(ctx)
	if err != nil {
		return nil, err
	}
	return &conn{quic: c}, nil
}

func (l *listener) Address() string { return l.quic.Addr().String() }

func (l *listener) Close() error { return l.quic.Close() }

func (c *conn) Open(ctx context.Context) (wire.Stream, error) {
	s, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	return &stream{quic: s}, nil
}

func (c *conn) Accept(ctx context.Context) (wire.Stream, error) {
	s, err := c.quic.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	return &stream{quic: s}, nil
}

func (c *conn) Done() <-chan struct{} { return c.quic.Context().Done() }

func (c *conn) Peer() string {
	name := peerName(c.quic.ConnectionState().TLS)
	if name != "" {
		return name
	}
	host, _, _ := net.SplitHostPort(c.quic.RemoteAddr().String())
	return host
}

func (c *conn) Close() error { return c.quic.CloseWithError(0, "") }

func (s *stream) Read(p []byte) (int, error)  { return s.quic.Read(p) }
func (s *stream) Write(p []byte) (int, error) { return s.quic.Write(p) }

// Close ends the sending side and gives up what the other end still sends.
func (s *stream) Close() error {
	s.quic.CancelRead(errorCode)
	return s.quic.Close()
}

func (s *stream) Cancel() {
	s.quic.CancelRead(errorCode)
	s.quic.CancelWrite(errorCode)
}

func (s *stream) SetDeadline(t time.Time) error { return s.quic.SetDeadline(t) }

func peerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

func config() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       wire.Silence,
		KeepAlivePeriod:      wire.Heartbeat,
		HandshakeIdleTimeout: wire.Silence,
		MaxIncomingStreams:   maxStreams,
	}
}
