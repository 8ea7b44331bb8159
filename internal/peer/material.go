package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
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
	Authority   *x509.CertPool
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
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{m.Certificate},
		RootCAs:      m.Authority,
		ServerName:   hostName,
	}
}
