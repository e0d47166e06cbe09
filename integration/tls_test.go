package integration

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tlsHandshake is the first byte of a TLS connection.
const tlsHandshake = 0x16

// writeCertificate writes a self-signed certificate for a process and returns the settings that name it.
func writeCertificate(t *testing.T, name string) []string {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	encoded, err := x509.MarshalECPrivateKey(private)
	is.NoErr(err)
	folder := t.TempDir()
	certificate, key := filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	is.NoErr(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600))
	return []string{"--set", "tls.certificate=" + certificate, "--set", "tls.key=" + key, "--set", "tls.authorities=" + certificate}
}

// Guards against roles that accept the tls settings and connect to control without TLS.
func TestEachRoleConnectsToControlWithTLS(t *testing.T) {
	for role, arguments := range map[string]func(control string) []string{
		"router": func(control string) []string { return []string{"--set", "router.control=[" + control + "]"} },
		"agent": func(control string) []string {
			return []string{"--set", "agent.control=[" + control + "]", "--set", "agent.backend=127.0.0.1:1", "--set", "agent.pool=proofs"}
		},
		"sidecar": func(control string) []string {
			return []string{"--set", "discovery.seeds=[" + control + "]", "--set", "ingress.listen=127.0.0.1:0", "--set", "ingress.instance=127.0.0.1:1", "--set", "agent.pool=proofs"}
		},
	} {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			control, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer control.Close()
			command := exec.Command(limehold, append(append([]string{role, "--name", "one", "--zone", "a"}, arguments(control.Addr().String())...), writeCertificate(t, "one")...)...)
			command.Stderr = os.Stderr
			is.NoErr(command.Start())
			defer func() {
				_ = command.Process.Signal(syscall.SIGKILL)
				_ = command.Wait()
			}()
			// A sidecar has two parts that connect.
			for range 2 {
				is.NoErr(control.(*net.TCPListener).SetDeadline(time.Now().Add(waitLimit)))
				conn, err := control.Accept()
				is.NoErr(err)
				defer conn.Close()
				first := make([]byte, 1)
				is.NoErr(conn.SetReadDeadline(time.Now().Add(waitLimit)))
				_, err = io.ReadFull(conn, first)
				is.NoErr(err)
				is.Equal(first[0], byte(tlsHandshake))
				conn.Close()
			}
		})
	}
}

// Guards against a standalone process whose control member listens without TLS although the settings ask for it.
func TestStandaloneListensWithTLS(t *testing.T) {
	is := is.New(t)
	arguments := append([]string{"standalone", "--name", "one", "--data-folder", t.TempDir() + "/data"}, writeCertificate(t, "one")...)
	parts := startProgram(t, 2, limehold, arguments...)
	is.Equal(parts["control"]["tls"], "true")
	conn, err := tls.Dial("tcp", parts["control"]["address"], &tls.Config{InsecureSkipVerify: true})
	is.NoErr(err)
	conn.Close()
}
