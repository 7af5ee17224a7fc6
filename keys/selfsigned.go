package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"

	"endivedeck.example/fault"
)

// SelfSigned is a self-signed certificate that exists only in memory. It gives
// encryption without authentication, for networks in which only instances of the
// system can reach each other and which provide no storage for keys. Create it
// with NewSelfSigned.
type SelfSigned struct {
	certificate tls.Certificate
}

// NewSelfSigned generates a key and a self-signed certificate.
func NewSelfSigned() (*SelfSigned, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "keys: %v", err)
	}
	template := certificateTemplate("endivedeck", certificateValidity)
	signed, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "keys: %v", err)
	}
	return &SelfSigned{certificate: tls.Certificate{Certificate: [][]byte{signed}, PrivateKey: key}}, nil
}

// Server returns the TLS configuration of a server for the ALPN protocol. It
// accepts all clients and requests no certificate.
func (s *SelfSigned) Server(protocol string, _ func(name string, reason error)) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{s.certificate},
	}
}

// Client returns the TLS configuration of a client for the ALPN protocol. It
// accepts all servers.
func (s *SelfSigned) Client(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true,
	}
}
