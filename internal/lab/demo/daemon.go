package demo

import (
	"github.com/barleyshelf/barleyshelf/internal/daemon"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/settings"
)

// OperatorName is the operator that the lab's daemons know.
const OperatorName = "lab"

// RealDaemon makes a real daemon from its spec; it is a topology.Factory.
func RealDaemon(spec topology.Spec) (topology.Daemon, error) {
	configured := settings.Default()
	configured.Node = spec.Node
	configured.Region = spec.Region
	configured.Zone = spec.Zone
	configured.Listen = settings.Addresses{Caller: spec.CallerAddress, Operator: spec.OperatorAddress, Peer: spec.PeerAddress}
	configured.Seeds = spec.Seeds
	configured.PlatformAddress = spec.PlatformAddress
	configured.DataFolder = spec.DataFolder
	configured.TLS.AllowPlain = true
	configured.OperatorTokensSHA256 = map[string]string{OperatorName: topology.TokenHash(OperatorName)}
	configured.Policy = spec.Policy
	return daemon.New(configured, daemon.Options{Dial: spec.Dial, Seed: spec.Seed})
}
