package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/wire"
)

// authority is a certificate authority for tests.
type authority struct {
	t           *testing.T
	folder      string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, folder: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue writes a certificate with the common name "role:name".
func (a *authority) issue(file, commonName string) Files {
	a.t.Helper()
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: commonName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return Files{
		Certificate: a.write(file+".pem", "CERTIFICATE", der), Key: a.write(file+".key", "EC PRIVATE KEY", private),
		Authorities: filepath.Join(a.folder, "authority.pem"),
	}
}

func secured(t *testing.T, files Files, local wire.Hello) Options {
	t.Helper()
	config, err := LoadTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	return Options{TLS: config, Local: local}
}

func TestBothSidesProveTheirNames(t *testing.T) {
	is := is.New(t)
	signer, otherAuthority := newAuthority(t), newAuthority(t)
	server := serve(t, secured(t, signer.issue("control", "control:control-1"), hello(wire.RoleControl, "control-1")))
	agent := hello(wire.RoleAgent, "proofs-1")

	conn, err := dial(t, server.Address(), secured(t, signer.issue("agent", "agent:proofs-1"), agent))
	is.NoErr(err)
	var answer string
	is.NoErr(conn.Call(context.Background(), kindEcho, "x", &answer))

	cases := map[string]Options{
		"another name":      secured(t, signer.issue("other", "agent:proofs-2"), agent),
		"another role":      secured(t, signer.issue("router", "router:proofs-1"), agent),
		"another authority": secured(t, otherAuthority.issue("stranger", "agent:proofs-1"), agent),
		"plain TCP":         {Local: agent},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := dial(t, server.Address(), options)
			if err == nil {
				// The server may reject the connection only after the client's hello.
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				err = conn.Call(ctx, kindEcho, "x", nil)
			}
			is.True(err != nil)
		})
	}
}

func TestServerMustProveItsNameToo(t *testing.T) {
	is := is.New(t)
	signer := newAuthority(t)
	server := serve(t, secured(t, signer.issue("x", "control:control-2"), hello(wire.RoleControl, "control-1")))
	_, err := dial(t, server.Address(), secured(t, signer.issue("agent", "agent:proofs-1"), hello(wire.RoleAgent, "proofs-1")))
	is.True(err != nil)
}

func TestChangedCertificateIsTakenUpWithoutARestart(t *testing.T) {
	is := is.New(t)
	signer := newAuthority(t)
	files := signer.issue("control", "control:control-1")
	source := &certificateSource{files: files}
	before, err := source.current()
	is.NoErr(err)
	signer.issue("control", "control:control-1")
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(files.Certificate, later, later))
	source.checked = time.Time{}
	after, err := source.current()
	is.NoErr(err)
	is.True(string(before.Certificate[0]) != string(after.Certificate[0]))

	// A file that cannot be loaded leaves the old certificate in use.
	is.NoErr(os.WriteFile(files.Certificate, []byte("half a file"), 0o600))
	is.NoErr(os.Chtimes(files.Certificate, later.Add(time.Minute), later.Add(time.Minute)))
	source.checked = time.Time{}
	kept, err := source.current()
	is.NoErr(err)
	is.Equal(string(kept.Certificate[0]), string(after.Certificate[0]))
}
