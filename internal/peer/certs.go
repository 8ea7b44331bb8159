package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"
)

// maxClockSkew is how far a host's clock may be behind that of the host that made the
// certificate: a certificate is valid from that long before its creation.
const maxClockSkew = 5 * time.Minute

// Authority is the certificate authority (CA) of a deployment's hosts.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	PEM         []byte // its certificate, which every host needs
}

// Identity is one host's certificate and private key in PEM form.
type Identity struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority generates an authority with a self-signed certificate. Its private key
// is kept in memory only.
func NewAuthority(name string, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, MaterialError.Wrap(err)
	}
	template, err := newTemplate(name, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, MaterialError.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, MaterialError.Wrap(err)
	}
	return &Authority{certificate: certificate, key: key, PEM: encodePEM("CERTIFICATE", der)}, nil
}

// Issue generates a host's key and certificate, which serve for accepting and for
// dialling links.
func (a *Authority) Issue(host string, validity time.Duration) (Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, MaterialError.Wrap(err)
	}
	template, err := newTemplate(host, validity)
	if err != nil {
		return Identity{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{certificateDNSName}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Identity{}, MaterialError.Wrap(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Identity{}, MaterialError.Wrap(err)
	}
	return Identity{Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", private)}, nil
}

// Material issues a host's certificate and returns it as the material that New takes.
func (a *Authority) Material(host string, validity time.Duration) (Material, error) {
	id, err := a.Issue(host, validity)
	if err != nil {
		return Material{}, err
	}
	return ParseMaterial(a.PEM, id.Certificate, id.Key)
}

// KeyPEM returns the authority's private key as PEM, for an operator who issues more
// certificates later.
func (a *Authority) KeyPEM() ([]byte, error) {
	private, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, MaterialError.Wrap(err)
	}
	return encodePEM("PRIVATE KEY", private), nil
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	const serialBits = 127
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, MaterialError.Wrap(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
