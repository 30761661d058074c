// Package zlkeys holds the key, certificate and certificate authority for mutual TLS
// between daemons and returns a tls.Config. Files that were replaced can be loaded again
// without a restart. It also issues certificates for demos and tests; it is no
// certificate authority for production.
package zlkeys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// ServerName is the DNS name that every daemon's certificate must have.
const ServerName = "daemon.zinnialock"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindRead means that a file could not be read, or that the certificate and the key
	// could not be parsed or do not match.
	KindRead Kind = "read"
	// KindInvalid means that the authority's file has no certificate.
	KindInvalid Kind = "invalid"
)

// Error reports keys that cannot be used.
type Error struct {
	// Op is the operation, "load".
	Op string
	// Kind classifies the error.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlkeys: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Files holds the paths of a daemon's PEM files.
type Files struct {
	// Certificate and Key are the daemon's own.
	Certificate string
	Key         string
	// Authority is the certificate of the authority that signs all daemons.
	Authority string
}

// Store holds the key, certificate and authority in force. Load or Set must have
// succeeded before the first handshake. All methods may be called concurrently.
type Store struct {
	// Files are the files that Load reads.
	Files Files

	mu   sync.RWMutex
	cert *tls.Certificate
	pool *x509.CertPool
}

// Load reads the files and puts them in force. On an error, which is an *Error, the
// earlier ones stay in force.
func (s *Store) Load() error {
	cert, err := tls.LoadX509KeyPair(s.Files.Certificate, s.Files.Key)
	if err != nil {
		return &Error{
			Op:   "load",
			Kind: KindRead,
			Err:  eris.Wrap(err, "read the certificate and key"),
		}
	}
	pem, err := os.ReadFile(s.Files.Authority)
	if err != nil {
		return &Error{
			Op:   "load",
			Kind: KindRead,
			Err:  eris.Wrap(err, "read the authority's certificate"),
		}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &Error{
			Op:   "load",
			Kind: KindInvalid,
			Err:  eris.Errorf("%s holds no certificate", s.Files.Authority),
		}
	}
	s.Set(&cert, pool)
	return nil
}

// Set puts a certificate with its key, and the authorities to trust, in force.
func (s *Store) Set(cert *tls.Certificate, pool *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cert = cert
	s.pool = pool
}

func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.cert, s.pool
}

// Config returns a configuration for clients and servers that offers protocol by ALPN.
// Each handshake uses and checks against what is in force at that time.
func (s *Store) Config(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ServerName: ServerName,
		ClientAuth: tls.RequireAnyClientCert,
		// The chain is checked in VerifyConnection, against the current pool.
		InsecureSkipVerify: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		VerifyConnection: s.verify,
	}
}

func (s *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	_, pool := s.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       ServerName,
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return eris.Wrap(err, "verify the peer's certificate")
}
