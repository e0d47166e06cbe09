package router

import (
	"context"
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
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/metrics"
	"limehold/settings"
	"limehold/wire"
)

// selfSigned writes a certificate for 127.0.0.1 and its key, and returns a pool that trusts it.
func selfSigned(t *testing.T) (certificate, key string, authorities *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "router"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	encoded, err := x509.MarshalECPrivateKey(private)
	is.NoErr(err)
	folder := t.TempDir()
	certificate, key = filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	is.NoErr(os.WriteFile(certificate, text, 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600))
	authorities = x509.NewCertPool()
	is.True(authorities.AppendCertsFromPEM(text))
	return certificate, key, authorities
}

func TestCallersOverTLS(t *testing.T) {
	is := is.New(t)
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	config.Router.CloseNotice = 0
	config.Router.Control = []string{"127.0.0.1:1"}
	var authorities *x509.CertPool
	config.Router.Certificate, config.Router.Key, authorities = selfSigned(t)
	router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- router.Run(ctx) }()

	client := &fasthttp.Client{TLSConfig: &tls.Config{RootCAs: authorities}}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("https://" + router.Address() + "/x")
	is.NoErr(client.DoTimeout(request, response, 10*time.Second))
	// Without control the router cannot confirm its configuration.
	is.Equal(string(response.Header.Peek(wire.HeaderReason)), rejectNotCurrent.reason)
	is.Equal(string(response.Header.Peek(wire.HeaderOutcome)), wire.OutcomeNotRun)

	status, _, err := fasthttp.GetTimeout(nil, "http://"+router.Address()+"/x", 5*time.Second)
	is.True(err != nil || status == fasthttp.StatusBadRequest) // plain HTTP is not served
	cancel()
	is.NoErr(<-ended)
}

func TestCertificateThatCannotBeReadIsAnError(t *testing.T) {
	is := is.New(t)
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	config.Router.Certificate, config.Router.Key = "/nowhere/cert.pem", "/nowhere/key.pem"
	_, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()})
	is.True(err != nil)
}
