package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
)

var (
	eventReloaded = event.Define(1502, event.Info, "certificates read again", "")
	eventReload   = event.Define(1503, event.Warning, "changed certificates cannot be used; the former ones stay in use",
		"correct the files; they are tried again at every poll")
)

// PollInterval is how often Watch looks for changed files.
const PollInterval = 5 * time.Second

// PeerName is the DNS name that every daemon's certificate carries. Daemons are
// replaced and readdressed at any time, so no address is part of their
// identity; only certificates with this name may act as a daemon.
const PeerName = "daemon.barleyshelf.internal"

// Files names PEM files of one endpoint.
type Files struct {
	Certificate string
	Key         string
	// Authority signs the other side's certificates; empty where the other
	// side shows none.
	Authority string
}

// material is what the files held at one time. It is immutable.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	stamps      [3]fileStamp
}

// fileStamp tells whether a file has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Certificates serves certificates from files. A change of the files is taken
// over as a whole: new connections use the new certificates, connections that
// stand are not cut. It is safe for concurrent use.
type Certificates struct {
	files   Files
	current atomic.Pointer[material]
	// reload keeps two reloads from overtaking each other.
	reload sync.Mutex
}

// Load reads the files. The error is a *CertificateError.
func Load(files Files) (*Certificates, error) {
	certificates := &Certificates{files: files}
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	certificates.current.Store(loaded)
	return certificates, nil
}

// Reload reads the files if any has changed, and reports whether it took new
// certificates into use. On an error, a *CertificateError, the former ones stay
// in use and the next Reload tries again.
func (c *Certificates) Reload() (bool, error) {
	c.reload.Lock()
	defer c.reload.Unlock()
	if c.files.stamps() == c.current.Load().stamps {
		return false, nil
	}
	loaded, err := c.files.read()
	if err != nil {
		return false, err
	}
	c.current.Store(loaded)
	return true, nil
}

// Watch calls Reload every interval until ctx ends, and logs what it did.
func (c *Certificates) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := c.Reload()
		switch {
		case err != nil:
			eventReload.Log("cause", err)
		case changed:
			eventReloaded.Log("certificate", c.files.Certificate, "expires", c.Expires())
		}
	}
}

// Expires returns when the certificate in use expires.
func (c *Certificates) Expires() time.Time {
	return c.current.Load().certificate.Leaf.NotAfter
}

// read reads all files together. A file that changes meanwhile has another
// stamp than the one recorded before, and so is read again.
func (f Files) read() (*material, error) {
	// An empty pool trusts nobody; a nil one would trust the system's.
	loaded := &material{stamps: f.stamps(), authority: x509.NewCertPool()}
	var err error
	loaded.certificate, err = tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, &CertificateError{File: f.Certificate, Cause: err}
	}
	if f.Authority == "" {
		return loaded, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, &CertificateError{File: f.Authority, Cause: err}
	}
	if !loaded.authority.AppendCertsFromPEM(pem) {
		return nil, &CertificateError{File: f.Authority, Cause: &NoCertificates{}}
	}
	return loaded, nil
}

func (f Files) stamps() [3]fileStamp {
	var stamps [3]fileStamp
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			// A missing file has the zero stamp, which no file that was read has.
			continue
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps
}
