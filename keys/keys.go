// Package keys makes and loads the keys that the system's processes prove
// themselves with.
//
// A deployment has its own certificate authority. Each instance has a
// certificate whose common name is the instance's name. Files are read again
// when they change, so keys are rotated without a restart: new connections
// use the new keys, open ones go on.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"endivedeck.example/fault"
)

const (
	authorityLife   = 10 * 365 * 24 * time.Hour
	certificateLife = 90 * 24 * time.Hour
	clockSlack      = time.Hour
	serverName      = "endivedeck"
	recheckTime     = time.Second
)

type (
	// Files names the PEM files of one instance.
	Files struct {
		Authority   string `json:"authority" need:"yes"`   // certificates of the authorities to trust
		Certificate string `json:"certificate" need:"yes"` // this instance's certificate
		Key         string `json:"key" need:"yes"`         // its private key
	}

	// Chain is the loaded keys of one instance.
	Chain struct {
		files Files

		mu      sync.Mutex
		checked time.Time
		changed time.Time
		pair    *tls.Certificate
		roots   *x509.CertPool
	}

	// Authority signs the certificates of a deployment.
	Authority struct {
		certificate *x509.Certificate
		key         *ecdsa.PrivateKey
		folder      string
	}
)

// Load reads the files of one instance.
func Load(files Files) (*Chain, error) {
	c := &Chain{files: files}
	if err := c.read(); err != nil {
		return nil, err
	}
	return c, nil
}

// Server returns the TLS configuration of an accepting end that speaks
// protocol. It accepts a peer whose certificate is in force and signed by the
// authority; refused is told of every other, by the name that it claims.
func (c *Chain) Server(protocol string, refused func(name string, reason error)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocol},
				Certificates: []tls.Certificate{*pair},
				ClientCAs:    roots,
				// Checked below, where a refusal can be told of.
				ClientAuth: tls.RequestClientCert,
				VerifyConnection: func(state tls.ConnectionState) error {
					name, err := verify(state.PeerCertificates, roots)
					if err != nil {
						refused(name, err)
					}
					return err
				},
			}, nil
		},
	}
}

// verify returns the name that a peer claims, and why it isn't accepted.
func verify(chain []*x509.Certificate, roots *x509.CertPool) (string, error) {
	if len(chain) == 0 {
		return "", fault.New(fault.Unauthenticated, fault.No, "the peer has no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return chain[0].Subject.CommonName, err
}

// Client returns the TLS configuration of a dialling end.
func (c *Chain) Client(protocol string) *tls.Config {
	pair, roots := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{*pair},
		RootCAs:      roots,
		ServerName:   serverName,
	}
}

// Serial returns the serial number of the certificate in force.
func (c *Chain) Serial() string {
	pair, _ := c.current()
	return pair.Leaf.SerialNumber.String()
}

// current returns the keys in force, read anew when the files have changed.
// Files that can't be read leave the earlier keys in force.
func (c *Chain) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checked) > recheckTime {
		c.checked = now
		if newest(c.files).After(c.changed) {
			_ = c.read()
		}
	}
	return c.pair, c.roots
}

func (c *Chain) read() error {
	changed := newest(c.files)
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fault.New(fault.Malformed, fault.No, "keys: %v", err)
	}
	text, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return fault.New(fault.Malformed, fault.No, "keys: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return fault.New(fault.Malformed, fault.No, "keys: %s holds no certificate", c.files.Authority)
	}
	c.pair = &pair
	c.roots = roots
	c.changed = changed
	return nil
}

func newest(files Files) time.Time {
	var latest time.Time
	for _, name := range []string{files.Authority, files.Certificate, files.Key} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// NewAuthority makes a certificate authority and writes authority.pem and
// authority.key into folder. It refuses to replace one that is there.
func NewAuthority(folder string) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(folder, "authority.key")); err == nil {
		return nil, fault.New(fault.Conflict, fault.No, "keys: %s holds an authority already", folder)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.No, "keys: %v", err)
	}
	template := template("endivedeck authority", authorityLife)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	signed, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.No, "keys: %v", err)
	}
	if err := write(folder, "authority", signed, key); err != nil {
		return nil, err
	}
	return OpenAuthority(folder)
}

// OpenAuthority reads the authority that NewAuthority wrote into folder.
func OpenAuthority(folder string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(folder, "authority.pem"), filepath.Join(folder, "authority.key"))
	if err != nil {
		return nil, fault.New(fault.NotFound, fault.No, "keys: %v", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fault.New(fault.Malformed, fault.No, "keys: %s holds no ECDSA authority", folder)
	}
	return &Authority{certificate: pair.Leaf, key: key, folder: folder}, nil
}

// Issue makes a key and a certificate for an instance, writes them into the
// authority's folder and returns the files' names. Files of the same instance
// are replaced, which is how its keys are rotated.
func (a *Authority) Issue(instance string) (Files, error) {
	files := Files{
		Authority:   filepath.Join(a.folder, "authority.pem"),
		Certificate: filepath.Join(a.folder, instance+".pem"),
		Key:         filepath.Join(a.folder, instance+".key"),
	}
	if instance == "" || instance != filepath.Base(instance) {
		return files, fault.New(fault.Malformed, fault.No, "keys: %q is no name for an instance", instance)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fault.New(fault.Internal, fault.No, "keys: %v", err)
	}
	template := template(instance, certificateLife)
	template.DNSNames = []string{serverName}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return files, fault.New(fault.Internal, fault.No, "keys: %v", err)
	}
	return files, write(a.folder, instance, signed, key)
}

func template(name string, life time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // crypto/rand doesn't fail on a running system
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSlack),
		NotAfter:     time.Now().Add(life),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func write(folder, name string, certificate []byte, key *ecdsa.PrivateKey) error {
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fault.New(fault.Internal, fault.No, "keys: %v", err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fault.New(fault.Unavailable, fault.No, "keys: %v", err)
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
			return fault.New(fault.Unavailable, fault.No, "keys: %v", err)
		}
	}
	return nil
}
