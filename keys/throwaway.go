package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"

	"endivedeck.example/fault"
)

// Throwaway is a key that lasts as long as its process and proves nothing: it
// serves where the network lets nobody but the system's own instances reach
// them, and no place to keep keys is there. Create it with NewThrowaway.
type Throwaway struct {
	pair tls.Certificate
}

// NewThrowaway makes a key with a certificate of its own.
func NewThrowaway() (*Throwaway, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.No, "keys: %v", err)
	}
	template := template("endivedeck", certificateLife)
	signed, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.No, "keys: %v", err)
	}
	return &Throwaway{pair: tls.Certificate{Certificate: [][]byte{signed}, PrivateKey: key}}, nil
}

// Server returns the TLS configuration of an accepting end. It accepts any peer.
func (t *Throwaway) Server(protocol string, _ func(name string, reason error)) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{t.pair},
	}
}

// Client returns the TLS configuration of a dialling end. It accepts any peer.
func (t *Throwaway) Client(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true,
	}
}
