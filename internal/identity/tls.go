package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
)

// The protocols that HTTP servers offer in the handshake.
var httpProtocols = []string{"h2", "http/1.1"}

// ServerConfig returns the configuration of a listener for callers or
// operators. Each handshake uses the certificate then in use.
func (c *Certificates) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: httpProtocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
	}
}

// PeerServerConfig returns the configuration of the listener for daemons. The
// client must show a daemon's certificate of the authority then in use.
func (c *Certificates) PeerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: httpProtocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.current.Load().peerServer(), nil
		},
	}
}

func (m *material) peerServer() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   httpProtocols,
		Certificates: []tls.Certificate{m.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    m.authority,
		// A resumed session would carry a certificate of a former authority on.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyDaemon(state.PeerCertificates)
		},
	}
}

// verifyDaemon holds that the chain, verified before, is a daemon's.
func verifyDaemon(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return &NotADaemon{Cause: &NoCertificates{}}
	}
	if err := chain[0].VerifyHostname(PeerName); err != nil {
		return &NotADaemon{Cause: err}
	}
	return nil
}

// PeerClientConfig returns the configuration of one connection to another
// daemon, with the certificates in use now.
func (c *Certificates) PeerClientConfig() *tls.Config {
	current := c.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   httpProtocols,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authority,
		ServerName:   PeerName,
	}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialPeer returns a DialFunc that secures what dial opens, for the
// DialTLSContext of an HTTP transport.
func (c *Certificates) DialPeer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(connection, c.PeerClientConfig())
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = connection.Close()
			return nil, err
		}
		return secured, nil
	}
}

// Secure wraps a listener with TLS. Where config is nil it stays plain, which
// allowPlain must have asked for; else the error is a *PlainRefused.
func Secure(listener net.Listener, config *tls.Config, allowPlain bool) (net.Listener, error) {
	if config != nil {
		return tls.NewListener(listener, config), nil
	}
	if !allowPlain {
		return nil, &PlainRefused{Address: listener.Addr().String()}
	}
	return listener, nil
}
