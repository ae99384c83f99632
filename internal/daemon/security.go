package daemon

import "crypto/tls"

// peerSecurity is both sides of mutual TLS between daemons; nil means plain TCP.
type peerSecurity struct {
	server *tls.Config
	client *tls.Config
}
