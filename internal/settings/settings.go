// Package settings reads what one daemon must know before it can join the
// others: its name, place, addresses, certificates and limits. Everything that
// concerns the whole deployment is declared instead (package declaration).
// A settings file is YAML; unknown keys are refused; every flag overrides its key.
package settings

import (
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Defaults of keys that a settings file may leave out.
const (
	DefaultMaxBodyBytes             = 8 << 20
	DefaultDrainTimeoutMilliseconds = 60_000
)

// Settings is the whole of a daemon's settings file.
type Settings struct {
	// Node names the daemon; it stays the same over restarts.
	Node structs.NodeID `yaml:"node" long:"node" description:"name of this daemon, unique in the deployment"`
	// Region is the region that the zone lies in.
	Region string `yaml:"region" long:"region" description:"region of the zone"`
	// Zone is where the daemon stands; it must be a declared zone.
	Zone structs.ZoneName `yaml:"zone" long:"zone" description:"zone the daemon stands in"`
	// Listen has the addresses to bind.
	Listen Addresses `yaml:"listen" group:"Listen addresses" namespace:"listen"`
	// Advertise has the addresses told to others; an empty one is that of Listen.
	Advertise Addresses `yaml:"advertise" group:"Advertised addresses" namespace:"advertise"`
	// Seeds are peer addresses (IP:port) to join through; empty starts alone.
	Seeds []string `yaml:"seeds" long:"seed" description:"peer address IP:port to join through; may be repeated"`
	// PlatformAddress is the base URL of the platform's object API.
	PlatformAddress string `yaml:"platformAddress" long:"platform-address" description:"base URL of the platform's object API"`
	// Cluster names the deployment that the daemon belongs to; empty is PlatformAddress.
	Cluster string `yaml:"cluster" long:"cluster" description:"name of the deployment, the same on all its daemons; empty is the platform address"`
	// DataFolder holds journal copies; empty keeps nothing on disk.
	DataFolder string `yaml:"dataFolder" long:"data-folder" description:"folder for journal copies; empty keeps nothing on disk"`
	// TLS names the certificate files.
	TLS TLS `yaml:"tls" group:"TLS" namespace:"tls"`
	// OperatorTokensSHA256 maps an operator's name to the hex SHA-256 of its bearer token.
	OperatorTokensSHA256 map[string]string `yaml:"operatorTokensSHA256" long:"operator-token-sha256" description:"NAME:HEX, hash of an operator's bearer token; may be repeated"`
	// MaxBodyBytes bounds one request body, in bytes.
	MaxBodyBytes int64 `yaml:"maxBodyBytes" long:"max-body-bytes" description:"largest request body, in bytes"`
	// DrainTimeoutMilliseconds bounds a planned stop, in milliseconds.
	DrainTimeoutMilliseconds int64 `yaml:"drainTimeoutMilliseconds" long:"drain-timeout-milliseconds" description:"longest planned stop, in milliseconds"`
	// LogVerbosity is klog's level; 0 logs numbered events alone.
	LogVerbosity int `yaml:"logVerbosity" long:"log-verbosity" description:"log level; 0 logs numbered events alone"`
	// Policy overrides the declared scheduling policy on this daemon; empty follows the declaration.
	Policy string `yaml:"policy" long:"policy" description:"scheduling policy of this daemon in place of the declared one"`
}

// Addresses are the daemon's three endpoints, each IP:port.
type Addresses struct {
	// Caller serves agent programs' callers.
	Caller string `yaml:"caller" long:"caller" description:"callers' address, IP:port"`
	// Operator serves plan, apply, get, drain, metrics and health.
	Operator string `yaml:"operator" long:"operator" description:"operators' address, IP:port"`
	// Peer serves the other daemons.
	Peer string `yaml:"peer" long:"peer" description:"address for other daemons, IP:port"`
}

// TLS names PEM files. They are read again when they change.
type TLS struct {
	// ServerCertificate and ServerKey serve callers and operators.
	ServerCertificate string `yaml:"serverCertificate" long:"server-certificate" description:"PEM certificate for callers and operators"`
	ServerKey         string `yaml:"serverKey" long:"server-key" description:"PEM key for callers and operators"`
	// PeerCertificate, PeerKey and PeerAuthority secure daemon-to-daemon calls both ways.
	PeerCertificate string `yaml:"peerCertificate" long:"peer-certificate" description:"PEM certificate for other daemons"`
	PeerKey         string `yaml:"peerKey" long:"peer-key" description:"PEM key for other daemons"`
	PeerAuthority   string `yaml:"peerAuthority" long:"peer-authority" description:"PEM certificates of the authority that signs daemons"`
	// AllowPlain asks for TCP without TLS. It is never assumed.
	AllowPlain bool `yaml:"allowPlain" long:"allow-plain" description:"serve plain TCP where no certificate is set"`
}

// Default returns settings with every key that has a default set.
func Default() Settings {
	return Settings{
		MaxBodyBytes:             DefaultMaxBodyBytes,
		DrainTimeoutMilliseconds: DefaultDrainTimeoutMilliseconds,
	}
}

// Advertised returns the addresses told to others: those of Advertise, and
// where one is empty that of Listen.
func (s Settings) Advertised() Addresses {
	return Addresses{
		Caller:   firstSet(s.Advertise.Caller, s.Listen.Caller),
		Operator: firstSet(s.Advertise.Operator, s.Listen.Operator),
		Peer:     firstSet(s.Advertise.Peer, s.Listen.Peer),
	}
}

// ClusterName returns what all daemons of one deployment have in common and no other
// deployment's have: the name that they are given, or the one object API that they share.
func (s Settings) ClusterName() string {
	return firstSet(s.Cluster, strings.TrimRight(s.PlatformAddress, "/"))
}

func firstSet(preferred, fallback string) string {
	if preferred != "" {
		return preferred
	}
	return fallback
}
