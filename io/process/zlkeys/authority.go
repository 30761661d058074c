package zlkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// testCertValidity is how long the certificates of an Authority are valid.
const testCertValidity = 30 * 24 * time.Hour

// Authority is a certificate authority for demos and tests. Its key exists only in
// memory.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate the authority's key")
	}
	template := certTemplate("zinnialock test authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create the authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse the authority's certificate")
	}
	return &Authority{
		cert: cert,
		key:  key,
	}, nil
}

// certTemplate returns a template without key usages, valid from one hour before now.
func certTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(testCertValidity),
	}
}

// Issue returns a new key and certificate for the daemon called name.
func (a *Authority) Issue(name string) (*tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate the daemon's key")
	}
	template := certTemplate(name)
	template.DNSNames = []string{ServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, eris.Wrap(err, "create the daemon's certificate")
	}
	return &tls.Certificate{
		Certificate: [][]byte{der},
		PrivateKey:  key,
	}, nil
}

// Pool returns a pool that trusts only this authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Store issues a key and certificate for the daemon called name and returns a store
// that holds them.
func (a *Authority) Store(name string) (*Store, error) {
	cert, err := a.Issue(name)
	if err != nil {
		return nil, err
	}
	s := &Store{}
	s.Set(cert, a.Pool())
	return s, nil
}

// WriteFiles issues a key and certificate for the daemon called name and writes them,
// with the authority's certificate, as PEM files into dir. On an error some of the files
// may have been written.
func (a *Authority) WriteFiles(dir, name string) (Files, error) {
	files := Files{
		Certificate: filepath.Join(dir, name+".crt"),
		Key:         filepath.Join(dir, name+".key"),
		Authority:   filepath.Join(dir, "authority.crt"),
	}
	cert, err := a.Issue(name)
	if err != nil {
		return files, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return files, eris.Wrap(err, "encode the daemon's key")
	}
	blocks := map[string]*pem.Block{
		files.Certificate: {
			Type:  "CERTIFICATE",
			Bytes: cert.Certificate[0],
		},
		files.Key: {
			Type:  "PRIVATE KEY",
			Bytes: key,
		},
		files.Authority: {
			Type:  "CERTIFICATE",
			Bytes: a.cert.Raw,
		},
	}
	for path, block := range blocks {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			return files, eris.Wrap(err, path)
		}
	}
	return files, nil
}
