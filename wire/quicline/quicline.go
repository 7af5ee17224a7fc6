// Package quicline implements wire.Transport over QUIC. It registers two
// transports: "quic" authenticates both ends by certificates, "quic-open"
// authenticates neither.
//
// QUIC provides what wire needs of a connection: streams that don't block each
// other, keep-alives, and an idle timeout at both ends. With these, each end
// detects a connection whose state was lost on the path, for example in a NAT
// gateway, where new connections would still work.
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
	alpnProtocol       = "endivedeck/1"
	maxIncomingStreams = 1 << 16
	streamCancelCode   = 1

	// Bytes that a peer may have sent and nobody has read, of a stream and of a
	// connection: at first, and once they are read as fast as they come.
	firstStreamBytes = 128 << 10
	firstConnBytes   = 256 << 10
	mostStreamBytes  = 4 << 20
	mostConnBytes    = 6 << 20
)

var (
	_ wire.Transport = (*Transport)(nil)
	_ wire.Listener  = (*listener)(nil)
	_ wire.Conn      = (*conn)(nil)
	_ wire.Stream    = (*stream)(nil)
)

type (
	// TLSConfigs provides the TLS configurations. The server calls refused for
	// each peer that it doesn't accept, with the name in the certificate.
	TLSConfigs interface {
		Server(protocol string, refused func(name string, reason error)) *tls.Config
		Client(protocol string) *tls.Config
	}

	// Transport implements wire.Transport with the keys of one process.
	Transport struct {
		tlsConfigs TLSConfigs
		log        *logrus.Entry
	}

	listener struct{ quic *quic.Listener }
	conn     struct{ quic *quic.Conn }
	stream   struct{ quic *quic.Stream }
)

func init() {
	wire.Transports.Register("quic", newMutualTLS)
	wire.Transports.Register("quic-open", newUnauthenticated)
	for _, role := range []string{"entry", "sidecar", "control"} {
		kernel.AllowSection(role, "keys")
	}
}

// newMutualTLS creates the transport "quic" with the keys that the section
// "keys" of the settings names.
func newMutualTLS(host *kernel.Host) (wire.Transport, error) {
	var files keys.Files
	if err := host.Section("keys", &files); err != nil {
		return nil, err
	}
	credentials, err := keys.Load(files, reloadLog{host.Log}.failed)
	if err != nil {
		return nil, err
	}
	return New(credentials, host.Log), nil
}

// reloadLog logs that keys could not be reloaded.
type reloadLog struct{ log *logrus.Entry }

func (l reloadLog) failed(err error) {
	l.log.WithField("error", err.Error()).Error("reloading the keys failed, the earlier ones stay in use")
}

// newUnauthenticated creates the transport "quic-open", whose connections are
// encrypted but not authenticated.
func newUnauthenticated(host *kernel.Host) (wire.Transport, error) {
	selfSigned, err := keys.NewSelfSigned()
	if err != nil {
		return nil, err
	}
	return New(selfSigned, host.Log), nil
}

// New returns a transport with the given TLS configurations. With
// keys.Credentials, both ends present a certificate and accept only peers whose
// certificate was signed by an authority they trust. A listener logs the peers it
// refuses.
func New(tlsConfigs TLSConfigs, log *logrus.Entry) *Transport {
	return &Transport{tlsConfigs: tlsConfigs, log: log}
}

func (t *Transport) logRefusedPeer(name string, reason error) {
	t.log.WithField("peer", name).WithField("error", reason.Error()).Warn("a peer was refused")
}

// Listen implements wire.Transport.
func (t *Transport) Listen(address string) (wire.Listener, error) {
	l, err := quic.ListenAddr(address, t.tlsConfigs.Server(alpnProtocol, t.logRefusedPeer), quicConfig())
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "listening on %s: %v", address, err)
	}
	return &listener{quic: l}, nil
}

// Dial implements wire.Transport.
func (t *Transport) Dial(ctx context.Context, address string) (wire.Conn, error) {
	c, err := quic.DialAddr(ctx, address, t.tlsConfigs.Client(alpnProtocol), quicConfig())
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "dialing %s: %v", address, err)
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

// Close implements wire.Stream. It also discards what the peer still sends.
func (s *stream) Close() error {
	s.quic.CancelRead(streamCancelCode)
	return s.quic.Close()
}

func (s *stream) Cancel() {
	s.quic.CancelRead(streamCancelCode)
	s.quic.CancelWrite(streamCancelCode)
}

func (s *stream) SetDeadline(t time.Time) error { return s.quic.SetDeadline(t) }

// peerName returns the common name of the peer's certificate, or "" if it
// presented none.
func peerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       wire.KeepAliveTimeout,
		KeepAlivePeriod:      wire.KeepAliveInterval,
		HandshakeIdleTimeout: wire.KeepAliveTimeout,
		MaxIncomingStreams:   maxIncomingStreams,

		InitialStreamReceiveWindow:     firstStreamBytes,
		InitialConnectionReceiveWindow: firstConnBytes,
		MaxStreamReceiveWindow:         mostStreamBytes,
		MaxConnectionReceiveWindow:     mostConnBytes,
	}
}
