package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Files names the PEM files of a process.
type Files struct {
	Certificate string
	Key         string
	// Authorities that sign the certificates of peers. If empty, peers need not present a
	// certificate.
	Authorities string
}

// reloadEvery is the minimum time between checks whether the certificate file has changed.
const reloadEvery = 5 * time.Second

// LoadTLS returns a configuration that reloads the certificate and its key, without a restart,
// when the certificate file has changed. The authorities are read only once. With authorities,
// both sides must present a certificate signed by them.
func LoadTLS(files Files) (*tls.Config, error) {
	source := &certificateSource{files: files}
	if _, err := source.current(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return source.current()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return source.current()
		},
	}
	if files.Authorities == "" {
		return config, nil
	}
	pool, err := loadAuthorities(files.Authorities)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = pool
	config.RootCAs = pool
	return config, nil
}

func loadAuthorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read certificate authorities %s", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("%s holds no PEM certificate", path)
	}
	return pool, nil
}

type certificateSource struct {
	files       Files
	mutex       sync.Mutex
	checked     time.Time
	modified    time.Time
	certificate *tls.Certificate
}

// current returns the certificate, reloaded if the file has changed. If a changed
// file cannot be loaded, the old certificate stays in use.
func (s *certificateSource) current() (*tls.Certificate, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.certificate != nil && time.Since(s.checked) < reloadEvery {
		return s.certificate, nil
	}
	s.checked = time.Now()
	info, err := os.Stat(s.files.Certificate)
	if err == nil && s.certificate != nil && info.ModTime().Equal(s.modified) {
		return s.certificate, nil
	}
	loaded, loadErr := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err == nil && loadErr == nil {
		s.certificate = &loaded
		s.modified = info.ModTime()
		return s.certificate, nil
	}
	if s.certificate != nil {
		return s.certificate, nil
	}
	return nil, eris.Wrapf(loadErr, "load certificate %s with key %s", s.files.Certificate, s.files.Key)
}

func verifyChain(config *tls.Config, state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: config.RootCAs, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return eris.Wrap(err, "verify the peer's certificate")
}
