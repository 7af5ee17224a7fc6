// Package keys issues and loads the certificates with which the processes of
// the system authenticate each other.
//
// Each deployment has its own certificate authority. Each instance has a
// certificate with its name as the common name. The files are reloaded when
// they change, so that keys can be rotated without a restart: new connections
// use the new keys, and open connections continue.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"endivedeck.example/fault"
)

const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 90 * 24 * time.Hour
	clockSkew           = time.Hour    // certificates are valid from this long before their creation
	serverName          = "endivedeck" // DNS name in all certificates, verified by clients
	recheckInterval     = time.Second  // between checks for changes of the files
)

type (
	// Files names the PEM files of one instance.
	Files struct {
		Authority   string `json:"authority" need:"yes"`   // certificates of the authorities to trust
		Certificate string `json:"certificate" need:"yes"` // this instance's certificate
		Key         string `json:"key" need:"yes"`         // its private key
	}

	// Credentials holds the loaded keys of an instance and reloads them when the
	// files change. Create it with Load.
	Credentials struct {
		files        Files
		reloadFailed func(error)

		mu          sync.Mutex
		checkedAt   time.Time // last check for changes of the files
		version     string    // of the files as last read, also if that failed
		certificate *tls.Certificate
		roots       *x509.CertPool
	}

	// Authority is the certificate authority of a deployment.
	Authority struct {
		certificate *x509.Certificate
		key         *ecdsa.PrivateKey
		folder      string
	}
)

// Load loads the keys of an instance. It calls reloadFailed when the files have
// changed and can't be reloaded, once for each change.
func Load(files Files, reloadFailed func(error)) (*Credentials, error) {
	c := &Credentials{files: files, reloadFailed: reloadFailed}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// Server returns the TLS configuration of a server for the ALPN protocol. It
// accepts clients with a valid certificate that a trusted authority signed. For
// every other client it calls refused, with the common name in the unverified
// certificate.
func (c *Credentials) Server(protocol string, refused func(name string, reason error)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocol},
				Certificates: []tls.Certificate{*pair},
				ClientCAs:    roots,
				// VerifyConnection verifies the certificate instead, so that
				// a refusal can be reported.
				ClientAuth: tls.RequestClientCert,
				VerifyConnection: func(state tls.ConnectionState) error {
					name, err := verifyPeer(state.PeerCertificates, roots)
					if err != nil {
						refused(name, err)
					}
					return err
				},
			}, nil
		},
	}
}

// verifyPeer verifies the certificate chain of a client. It returns the common
// name in the client's certificate, also with an error.
func verifyPeer(chain []*x509.Certificate, roots *x509.CertPool) (string, error) {
	if len(chain) == 0 {
		return "", fault.New(fault.Unauthenticated, fault.NotRun, "the peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return chain[0].Subject.CommonName, err
}

// Client returns the TLS configuration of a client for the ALPN protocol. It
// accepts servers with a certificate that a trusted authority signed.
func (c *Credentials) Client(protocol string) *tls.Config {
	pair, roots := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{*pair},
		RootCAs:      roots,
		ServerName:   serverName,
	}
}

// SerialNumber returns the serial number of the current certificate.
func (c *Credentials) SerialNumber() string {
	pair, _ := c.current()
	return pair.Leaf.SerialNumber.String()
}

// current returns the certificate and the trusted authorities. It reloads them
// if the files have changed, and keeps the earlier ones if that fails.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checkedAt) > recheckInterval {
		c.checkedAt = now
		if fileVersion(c.files) != c.version {
			if err := c.load(); err != nil {
				c.reloadFailed(err)
			}
		}
	}
	return c.certificate, c.roots
}

// load reads the files. The lock must be held, except in Load.
func (c *Credentials) load() error {
	c.version = fileVersion(c.files)
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "keys: %v", err)
	}
	text, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "keys: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return fault.New(fault.Malformed, fault.NotRun, "keys: no certificate in %s", c.files.Authority)
	}
	c.certificate = &pair
	c.roots = roots
	return nil
}

// fileVersion returns a text that changes when one of the files is replaced, also by
// an older one, as when an authority is withdrawn by putting back an earlier file.
func fileVersion(files Files) string {
	var version strings.Builder
	for _, name := range []string{files.Authority, files.Certificate, files.Key} {
		info, err := os.Stat(name)
		if err != nil {
			fmt.Fprintf(&version, "%v;", err)
			continue
		}
		fmt.Fprintf(&version, "%d %d;", info.ModTime().UnixNano(), info.Size())
	}
	return version.String()
}

// NewAuthority creates a certificate authority and writes authority.pem and
// authority.key into folder. It fails if there is an authority.key already.
func NewAuthority(folder string) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(folder, "authority.key")); err == nil {
		return nil, fault.New(fault.Conflict, fault.NotRun, "keys: %s already has an authority", folder)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "keys: %v", err)
	}
	template := certificateTemplate("endivedeck authority", authorityValidity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	signed, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "keys: %v", err)
	}
	if err := writePEM(folder, "authority", signed, key); err != nil {
		return nil, err
	}
	return OpenAuthority(folder)
}

// OpenAuthority loads the authority that NewAuthority wrote into folder.
func OpenAuthority(folder string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(folder, "authority.pem"), filepath.Join(folder, "authority.key"))
	if err != nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "keys: %v", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fault.New(fault.Malformed, fault.NotRun, "keys: the key of the authority in %s isn't an ECDSA key", folder)
	}
	return &Authority{certificate: pair.Leaf, key: key, folder: folder}, nil
}

// Issue creates a key and a certificate for an instance, writes them into the
// folder of the authority and returns the file names. It replaces the files of
// an earlier call for the same instance, to rotate its keys.
func (a *Authority) Issue(instance string) (Files, error) {
	files := Files{
		Authority:   filepath.Join(a.folder, "authority.pem"),
		Certificate: filepath.Join(a.folder, instance+".pem"),
		Key:         filepath.Join(a.folder, instance+".key"),
	}
	if instance == "" || instance != filepath.Base(instance) {
		return files, fault.New(fault.Malformed, fault.NotRun, "keys: invalid instance name %q: must be a file name without a path", instance)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fault.New(fault.Internal, fault.NotRun, "keys: %v", err)
	}
	template := certificateTemplate(instance, certificateValidity)
	template.DNSNames = []string{serverName}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return files, fault.New(fault.Internal, fault.NotRun, "keys: %v", err)
	}
	return files, writePEM(a.folder, instance, signed, key)
}

// certificateTemplate returns a certificate for name, to be completed and
// signed.
func certificateTemplate(name string, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // crypto/rand doesn't fail on a running system
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

// writePEM writes a certificate and its private key to the files name.pem and
// name.key in folder.
func writePEM(folder, name string, certificate []byte, key *ecdsa.PrivateKey) error {
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fault.New(fault.Internal, fault.NotRun, "keys: %v", err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fault.New(fault.Unavailable, fault.NotRun, "keys: %v", err)
	}
	parts := []struct {
		file  string
		block pem.Block
		mode  os.FileMode
	}{
		{name + ".key", pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}, 0o600},
		{name + ".pem", pem.Block{Type: "CERTIFICATE", Bytes: certificate}, 0o644},
	}
	for _, part := range parts {
		text := pem.EncodeToMemory(&part.block)
		if err := os.WriteFile(filepath.Join(folder, part.file), text, part.mode); err != nil {
			return fault.New(fault.Unavailable, fault.NotRun, "keys: %v", err)
		}
	}
	return nil
}
