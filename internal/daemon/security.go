package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/barleyshelf/barleyshelf/internal/identity"
	"github.com/barleyshelf/barleyshelf/internal/peer"
)

// security holds the certificates of the daemon's listeners and of its
// connections to peers; nil members mean plain TCP, which the settings must
// have asked for.
type security struct {
	server *identity.Certificates
	peers  *identity.Certificates
}

// loadSecurity reads the certificates that the settings name. The error is an
// *identity.CertificateError.
func (d *Daemon) loadSecurity() error {
	files := d.settings.TLS
	if files.ServerCertificate != "" {
		loaded, err := identity.Load(identity.Files{Certificate: files.ServerCertificate, Key: files.ServerKey})
		if err != nil {
			return err
		}
		d.security.server = loaded
	}
	if files.PeerCertificate != "" {
		loaded, err := identity.Load(identity.Files{
			Certificate: files.PeerCertificate,
			Key:         files.PeerKey,
			Authority:   files.PeerAuthority,
		})
		if err != nil {
			return err
		}
		d.security.peers = loaded
	}
	return nil
}

// watchCertificates reads the files again when they change.
func (d *Daemon) watchCertificates() {
	for _, watched := range []*identity.Certificates{d.security.server, d.security.peers} {
		if watched != nil {
			d.task(func() { watched.Watch(d.context, identity.PollInterval) })
		}
	}
}

func (s *security) serverConfig() *tls.Config {
	if s.server == nil {
		return nil
	}
	return s.server.ServerConfig()
}

func (s *security) peerServerConfig() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.PeerServerConfig()
}

// peerDialer returns the dialer of secured connections, or nil.
func (s *security) peerDialer(dial peer.Dialer) peer.Dialer {
	if s.peers == nil {
		return nil
	}
	secured := s.peers.DialPeer(identity.DialFunc(dial))
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return secured(ctx, network, address)
	}
}
