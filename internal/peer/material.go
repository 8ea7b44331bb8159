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
	// hostName is in the certificate of every host; a host's addresses are not,
	// for they change with each replacement.
	hostName = "host.gentiancroft.internal"
	// protocol is the application protocol of this version of the links.
	protocol = "gentiancroft-link/1"
)

// Material is what a host proves itself and checks others with.
type Material struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool // nil where Trust decides

	// Trust tells whether a certificate with this fingerprint is that of the host
	// that its common name gives. It replaces the authority.
	Trust func(host core.HostID, fingerprint string) bool
}

// NewPinned makes a certificate of a host's own, which others know by its
// fingerprint: it has no authority and lasts as long as the process.
func NewPinned(host core.HostID, trust func(core.HostID, string) bool) (m Material, fingerprint string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, "", MaterialError.Wrap(err)
	}
	template, err := newTemplate(string(host), pinnedTerm)
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

// pinnedTerm is written into a pinned certificate; nobody checks it.
const pinnedTerm = 365 * 24 * time.Hour

// Fingerprint is a hash of a certificate's public key.
func Fingerprint(c *x509.Certificate) string {
	sum := sha256.Sum256(c.RawSubjectPublicKeyInfo)
	return base64.RawStdEncoding.EncodeToString(sum[:])
}

// verify checks a peer's certificate by its fingerprint.
func (m Material) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return MaterialError.New("the peer showed no certificate")
	}
	leaf := state.PeerCertificates[0]
	if !m.Trust(core.HostID(leaf.Subject.CommonName), Fingerprint(leaf)) {
		return MaterialError.New("the peer's key is not a registered host's")
	}
	return nil
}

// ParseMaterial reads PEM blocks: the authority's certificate, and the host's
// certificate and private key.
func ParseMaterial(authority, certificate, key []byte) (Material, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return Material{}, MaterialError.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Material{}, MaterialError.New("the authority holds no certificate in PEM form")
	}
	return Material{Certificate: pair, Authority: pool}, nil
}

// LoadMaterial reads the files that ParseMaterial describes.
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

// server is the accepting side: no peer without a certificate of the authority.
func (m Material) server() *tls.Config {
	if m.Trust != nil {
		return &tls.Config{
			MinVersion:       tls.VersionTLS13,
			NextProtos:       []string{protocol},
			Certificates:     []tls.Certificate{m.Certificate},
			ClientAuth:       tls.RequireAnyClientCert,
			VerifyConnection: m.verify,
		}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{m.Certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    m.Authority,
	}
}

// client is the dialling side.
func (m Material) client() *tls.Config {
	if m.Trust != nil {
		return &tls.Config{
			MinVersion:         tls.VersionTLS13,
			NextProtos:         []string{protocol},
			Certificates:       []tls.Certificate{m.Certificate},
			InsecureSkipVerify: true, // verify checks the key itself
			VerifyConnection:   m.verify,
		}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{m.Certificate},
		RootCAs:      m.Authority,
		ServerName:   hostName,
	}
}
