package identity

import (
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

	"github.com/stretchr/testify/require"
)

// authority signs certificates of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key, serial: 1}
}

// issue writes a certificate for name, its key and the authority into folder.
func (a *authority) issue(t *testing.T, folder, name string) Files {
	a.serial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	files := Files{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der, a.serial)
	writePEM(t, files.Key, "PRIVATE KEY", keyDER, a.serial)
	writePEM(t, files.Authority, "CERTIFICATE", a.certificate.Raw, a.serial)
	return files
}

// writePEM gives each writing a modification time of its own.
func writePEM(t *testing.T, file, kind string, der []byte, second int64) {
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	stamp := time.Unix(1_800_000_000+second, 0)
	require.NoError(t, os.Chtimes(file, stamp, stamp))
}

func load(t *testing.T, files Files) *Certificates {
	certificates, err := Load(files)
	require.NoError(t, err)
	return certificates
}

// handshake connects both sides and returns their errors, and the certificate
// that the client saw. TLS 1.3 tells a client only at its first read that it was
// refused, so the server also sends a byte. A pipe in memory would block where
// both sides write at once.
func handshake(t *testing.T, server, client *tls.Config) (seen *x509.Certificate, serverErr, clientErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	done := make(chan error, 1)
	go func() { done <- serveOnce(listener, server) }()
	near, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer near.Close()
	opened := tls.Client(near, client)
	_, clientErr = opened.Read(make([]byte, 1))
	if certificates := opened.ConnectionState().PeerCertificates; len(certificates) > 0 {
		seen = certificates[0]
	}
	near.Close()
	return seen, <-done, clientErr
}

// serveOnce greets one client.
func serveOnce(listener net.Listener, config *tls.Config) error {
	accepted, err := tls.NewListener(listener, config).Accept()
	if err != nil {
		return err
	}
	defer accepted.Close()
	_, err = accepted.Write([]byte{1})
	return err
}

func TestPeersTrustOnlyDaemonsOfTheirAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	daemonA := load(t, ours.issue(t, t.TempDir(), PeerName))
	daemonB := load(t, ours.issue(t, t.TempDir(), PeerName))
	operator := load(t, ours.issue(t, t.TempDir(), "operator.example"))
	stranger := load(t, theirs.issue(t, t.TempDir(), PeerName))
	cases := []struct {
		name           string
		server, client *Certificates
		works          bool
	}{
		{"two daemons", daemonA, daemonB, true},
		{"client of another authority", daemonA, stranger, false},
		{"server of another authority", stranger, daemonA, false},
		{"client is no daemon", daemonA, operator, false},
		{"server is no daemon", operator, daemonA, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, serverErr, clientErr := handshake(t, c.server.PeerServerConfig(), c.client.PeerClientConfig())
			require.Equal(t, c.works, serverErr == nil && clientErr == nil, "%v / %v", serverErr, clientErr)
		})
	}
	anonymous := daemonB.PeerClientConfig()
	anonymous.Certificates = nil
	_, serverErr, _ := handshake(t, daemonA.PeerServerConfig(), anonymous)
	require.Error(t, serverErr, "client without a certificate")
}

func TestChangedFilesAreTakenIntoUseTogether(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	second.serial = 100
	folder := t.TempDir()
	files := first.issue(t, folder, PeerName)
	daemon := load(t, files)
	config := daemon.PeerServerConfig()
	oldPeer := load(t, first.issue(t, t.TempDir(), PeerName))
	newPeer := load(t, second.issue(t, t.TempDir(), PeerName))
	changed, err := daemon.Reload()
	require.NoError(t, err)
	require.False(t, changed)

	// Half of a change: the certificate without its key is not taken.
	key, err := os.ReadFile(files.Key)
	require.NoError(t, err)
	second.issue(t, folder, PeerName)
	newKey, err := os.ReadFile(files.Key)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.Key, key, 0o600))
	_, err = daemon.Reload()
	var broken *CertificateError
	require.ErrorAs(t, err, &broken)
	_, serverErr, clientErr := handshake(t, config, oldPeer.PeerClientConfig())
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)

	require.NoError(t, os.WriteFile(files.Key, newKey, 0o600))
	changed, err = daemon.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	seen, serverErr, clientErr := handshake(t, config, newPeer.PeerClientConfig())
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
	require.Equal(t, int64(102), seen.SerialNumber.Int64())
	_, serverErr, _ = handshake(t, config, oldPeer.PeerClientConfig())
	require.Error(t, serverErr, "the former authority is trusted no more")
}

func TestCallersSeeTheCertificateInUse(t *testing.T) {
	authority := newAuthority(t)
	folder := t.TempDir()
	daemon := load(t, authority.issue(t, folder, "api.example"))
	roots := x509.NewCertPool()
	roots.AddCert(authority.certificate)
	config := daemon.ServerConfig()
	for _, want := range []int64{2, 3} {
		seen, _, clientErr := handshake(t, config, &tls.Config{RootCAs: roots, ServerName: "api.example"})
		require.NoError(t, clientErr)
		require.Equal(t, want, seen.SerialNumber.Int64())
		authority.issue(t, folder, "api.example")
		_, err := daemon.Reload()
		require.NoError(t, err)
	}
	_, _, clientErr := handshake(t, config, &tls.Config{RootCAs: roots, ServerName: "api.example", MaxVersion: tls.VersionTLS12})
	require.Error(t, clientErr, "TLS 1.2")
}

func TestPlainMustBeAskedFor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	_, err = Secure(listener, nil, false)
	var refused *PlainRefused
	require.ErrorAs(t, err, &refused)
	plain, err := Secure(listener, nil, true)
	require.NoError(t, err)
	require.Equal(t, listener, plain)
	secured, err := Secure(listener, &tls.Config{}, true)
	require.NoError(t, err)
	require.NotEqual(t, listener, secured)
}

func TestMissingAndEmptyFilesAreNamed(t *testing.T) {
	files := newAuthority(t).issue(t, t.TempDir(), PeerName)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	for _, broken := range []Files{
		{Certificate: "missing.pem", Key: files.Key},
		{Certificate: files.Certificate, Key: empty},
		{Certificate: files.Certificate, Key: files.Key, Authority: empty},
	} {
		_, err := Load(broken)
		var found *CertificateError
		require.ErrorAs(t, err, &found)
	}
}
