package settings

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"regexp"
	"sort"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
)

const (
	sha256HexDigits = 64
	allowedAddress  = "IP:port, such as 10.1.0.4:7001"
	allowedName     = "lower-case letters, digits and inner hyphens, at most 63"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate returns nil, or a *strictyaml.Invalid with all problems at once.
func (s Settings) Validate() error {
	return strictyaml.NewInvalid(subject, s.problems())
}

func (s Settings) problems() []strictyaml.Problem {
	var found collector
	found.name("node", string(s.Node))
	found.name("region", s.Region)
	found.name("zone", string(s.Zone))
	found.listen(s.Listen)
	found.advertise(s)
	for _, seed := range s.Seeds {
		found.address("seeds", seed, false)
	}
	found.baseURL("platformAddress", s.PlatformAddress)
	if s.Cluster != "" {
		found.name("cluster", s.Cluster)
	}
	found.tls(s.TLS)
	found.tokens(s.OperatorTokensSHA256)
	found.positive("maxBodyBytes", s.MaxBodyBytes)
	found.positive("drainTimeoutMilliseconds", s.DrainTimeoutMilliseconds)
	found.notNegative("logVerbosity", int64(s.LogVerbosity))
	if _, err := schedule.New(s.Policy); err != nil {
		found.add("policy", "unknown policy "+s.Policy, strings.Join(schedule.Names(), ", "))
	}
	return found.problems
}

type collector struct{ problems []strictyaml.Problem }

func (c *collector) add(field, reason, allowed string) {
	c.problems = append(c.problems, strictyaml.Problem{Field: field, Reason: reason, Allowed: allowed})
}

func (c *collector) name(field, value string) {
	switch {
	case value == "":
		c.add(field, "is missing", allowedName)
	case !namePattern.MatchString(value):
		c.add(field, "malformed name "+value, allowedName)
	}
}

func (c *collector) listen(listen Addresses) {
	c.address("listen.caller", listen.Caller, true)
	c.address("listen.operator", listen.Operator, true)
	c.address("listen.peer", listen.Peer, true)
}

// advertise checks the addresses that others will dial: an unspecified IP such
// as 0.0.0.0, or port 0, may be bound but can't be dialled.
func (c *collector) advertise(s Settings) {
	advertised := s.Advertised()
	c.dialable("advertise.caller", s.Advertise.Caller, advertised.Caller)
	c.dialable("advertise.operator", s.Advertise.Operator, advertised.Operator)
	c.dialable("advertise.peer", s.Advertise.Peer, advertised.Peer)
}

func (c *collector) dialable(field, own, effective string) {
	if own != "" && !c.address(field, own, false) {
		return
	}
	parsed, err := netip.ParseAddrPort(effective)
	if err == nil && (parsed.Addr().IsUnspecified() || parsed.Port() == 0) {
		c.add(field, "others can't dial "+effective, "an IP of this machine and the port that it listens on")
	}
}

// address checks IP:port and reports whether it holds. Port 0 (any free port)
// is accepted only where it is bound.
func (c *collector) address(field, value string, bound bool) bool {
	if value == "" {
		c.add(field, "is missing", allowedAddress)
		return false
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || (!bound && parsed.Port() == 0) {
		c.add(field, "malformed address "+value, allowedAddress)
		return false
	}
	return true
}

func (c *collector) baseURL(field, value string) {
	if value == "" {
		c.add(field, "is missing", "a base URL such as http://10.1.0.2:8080")
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add(field, "malformed URL "+value, "a base URL such as http://10.1.0.2:8080")
	}
}

func (c *collector) tls(tls TLS) {
	c.pair("tls.serverCertificate", tls.ServerCertificate, "tls.serverKey", tls.ServerKey)
	c.pair("tls.peerCertificate", tls.PeerCertificate, "tls.peerKey", tls.PeerKey)
	c.pair("tls.peerCertificate", tls.PeerCertificate, "tls.peerAuthority", tls.PeerAuthority)
	if tls.AllowPlain {
		return
	}
	const allowed = "a PEM file, or tls.allowPlain: true for plain TCP"
	if tls.ServerCertificate == "" {
		c.add("tls.serverCertificate", "is missing", allowed)
	}
	if tls.PeerCertificate == "" {
		c.add("tls.peerCertificate", "is missing", allowed)
	}
}

func (c *collector) pair(firstField, first, secondField, second string) {
	if first != "" && second == "" {
		c.add(secondField, "is missing", "set together with "+firstField)
	}
	if first == "" && second != "" {
		c.add(firstField, "is missing", "set together with "+secondField)
	}
}

func (c *collector) tokens(tokens map[string]string) {
	names := make([]string, 0, len(tokens))
	for name := range tokens {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		decoded, err := hex.DecodeString(tokens[name])
		if err != nil || len(decoded)*2 != sha256HexDigits {
			c.add("operatorTokensSHA256."+name, "malformed hash", "64 hex digits, the SHA-256 of the token")
		}
	}
}

func (c *collector) positive(field string, value int64) {
	if value <= 0 {
		c.add(field, "must be above 0", "a whole number from 1")
	}
}

func (c *collector) notNegative(field string, value int64) {
	if value < 0 {
		c.add(field, "must not be negative", "a whole number from 0")
	}
}

// ValidateFile is Validate for settings that came from one file alone: its
// problems name the file.
func (s Settings) ValidateFile(path string) error {
	problems := s.problems()
	for i := range problems {
		problems[i].File = path
	}
	return strictyaml.NewInvalid(subject, problems)
}
