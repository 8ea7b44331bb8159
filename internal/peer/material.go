package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"os"
	"time"

	"gentiancroft/internal/core"
)

const (
	// certificateDNSName is in the certificate of every host. Addresses are not,
	// because they change when a host is replaced.
	certificateDNSName = "host.gentiancroft.internal"
	// alpnProtocol identifies this version of the link protocol in the TLS handshake.
	alpnProtocol = "gentiancroft-link/1"
)

// Material is a host's own certificate and its means of verifying its peers'.
type Material struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool // nil if Trust is set

	// Trust reports whether a certificate with this fingerprint belongs to the host
	// in its common name. If set, it is used instead of the authority.
	Trust func(host core.HostID, fingerprint string) bool
}

// NewPinnedMaterial generates a self-signed certificate for a host, whose peers verify
// it by its fingerprint. Its key exists only in this process.
func NewPinnedMaterial(host core.HostID, trust func(core.HostID, string) bool) (m Material, fingerprint string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, "", MaterialError.Wrap(err)
	}
	template, err := newTemplate(string(host), pinnedValidity)
	if err != nil {
		return Material{}, "", err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return Material{}, "", MaterialError.Wrap(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return Material{}, "", MaterialError.Wrap(err)
	}
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
	return Material{Certificate: certificate, Trust: trust}, Fingerprint(leaf), nil
}

// pinnedValidity is the validity of a pinned certificate. Peers don't check it.
const pinnedValidity = 365 * 24 * time.Hour

// Fingerprint returns the SHA-256 hash of a certificate's public key in base64.
func Fingerprint(c *x509.Certificate) string {
	sum := sha256.Sum256(c.RawSubjectPublicKeyInfo)
	return base64.RawStdEncoding.EncodeToString(sum[:])
}

// verifyFingerprint checks a peer's certificate by its fingerprint.
func (m Material) verifyFingerprint(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return MaterialError.New("the peer presented no certificate")
	}
	leaf := state.PeerCertificates[0]
	if !m.Trust(core.HostID(leaf.Subject.CommonName), Fingerprint(leaf)) {
		return MaterialError.New("the peer's key is not registered for its host")
	}
	return nil
}

// ParseMaterial parses PEM blocks: the authority's certificate, and the host's
// certificate and private key.
func ParseMaterial(authority, certificate, key []byte) (Material, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return Material{}, MaterialError.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Material{}, MaterialError.New("the authority contains no certificate in PEM form")
	}
	return Material{Certificate: pair, Authority: pool}, nil
}

// LoadMaterial reads files with the PEM blocks that ParseMaterial takes.
func LoadMaterial(authorityFile, certificateFile, keyFile string) (Material, error) {
	var blocks [3][]byte
	for i, name := range []string{authorityFile, certificateFile, keyFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return Material{}, MaterialError.Wrap(err)
		}
		blocks[i] = b
	}
	return ParseMaterial(blocks[0], blocks[1], blocks[2])
}

// serverTLS returns the TLS configuration for accepting connections. A peer must present
// a certificate that the authority signed or Trust accepts.
func (m Material) serverTLS() *tls.Config {
	if m.Trust != nil {
		return &tls.Config{
			MinVersion:       tls.VersionTLS13,
			NextProtos:       []string{alpnProtocol},
			Certificates:     []tls.Certificate{m.Certificate},
			ClientAuth:       tls.RequireAnyClientCert,
			VerifyConnection: m.verifyFingerprint,
		}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
		Certificates: []tls.Certificate{m.Certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    m.Authority,
	}
}

// clientTLS returns the TLS configuration for dialling.
func (m Material) clientTLS() *tls.Config {
	if m.Trust != nil {
		return &tls.Config{
			MinVersion:         tls.VersionTLS13,
			NextProtos:         []string{alpnProtocol},
			Certificates:       []tls.Certificate{m.Certificate},
			InsecureSkipVerify: true, // VerifyConnection checks the peer's key
			VerifyConnection:   m.verifyFingerprint,
		}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
		Certificates: []tls.Certificate{m.Certificate},
		RootCAs:      m.Authority,
		ServerName:   certificateDNSName,
	}
}
