// Package zlkeys loads the keys for mutual TLS between daemons, takes up
// replaced files without a restart, and makes keys for demos and tests.
package zlkeys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// ServerName is the name that every daemon's certificate must carry.
const ServerName = "daemon.zinnialock"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindRead    Kind = "read"
	KindInvalid Kind = "invalid"
)

// Error reports keys that cannot be used.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlkeys: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Files names the PEM files of a daemon.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Store holds the keys in force. Load must succeed before Config is used.
type Store struct {
	Files Files

	mu   sync.RWMutex
	cert *tls.Certificate
	pool *x509.CertPool
}

// Load reads the files; on an error the keys in force stay.
func (s *Store) Load() error {
	cert, err := tls.LoadX509KeyPair(s.Files.Certificate, s.Files.Key)
	if err != nil {
		return &Error{
			Op:   "load",
			Kind: KindRead,
			Err:  eris.Wrap(err, "certificate and key"),
		}
	}
	pem, err := os.ReadFile(s.Files.Authority)
	if err != nil {
		return &Error{
			Op:   "load",
			Kind: KindRead,
			Err:  eris.Wrap(err, "authority"),
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

// Set puts keys in force that did not come from files.
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

// Config returns a configuration, for both ends, that checks the other side
// against the keys in force at the time of each handshake.
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
		return eris.New("the other side sent no certificate")
	}
	_, pool := s.current()
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       ServerName,
		Roots:         pool,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return eris.Wrap(err, "daemon certificate")
}
