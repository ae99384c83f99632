package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEachGatewayLearnsAFewOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := newGatewayRegistry(func() time.Time { return now }), newGatewayRegistry(func() time.Time { return now })
	one.observe("", "")
	require.Empty(t, one.forwardersFor("g0", ""))
	for i := range 40 {
		one.observe(fmt.Sprintf("g%d", i), "")
		other.observe(fmt.Sprintf("g%d", 39-i), "")
	}
	named := map[string]bool{}
	for i := range 40 {
		name := fmt.Sprintf("g%d", i)
		forwarders := one.forwardersFor(name, "")
		require.Len(t, forwarders, maxForwarders)
		require.NotContains(t, forwarders, name)
		require.Equal(t, forwarders, other.forwardersFor(name, ""), "replicas name the same gateways")
		for _, forwarder := range forwarders {
			named[forwarder] = true
		}
	}
	require.Greater(t, len(named), 20, "the load is distributed")
	now = now.Add(gatewayExpiry + 1)
	one.observe("g7", "")
	require.Equal(t, []string{"g7"}, one.forwardersFor("g3", ""), "gateways without recent requests are forgotten")
}

// Checks the gateways in all zones of three regions.
func TestForwardersIncludeOtherZoneAndOtherRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
	registry := newGatewayRegistry(func() time.Time { return now }).withRegions(regions)
	zones := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	zoneOf := make(map[string]string)
	for i := range 36 {
		name := fmt.Sprintf("g%d", i)
		zoneOf[name] = zones[i%len(zones)]
		registry.observe(name, zoneOf[name])
	}
	for name, zone := range zoneOf {
		forwarders := registry.forwardersFor(name, zone)
		require.Len(t, forwarders, maxForwarders)
		require.NotContains(t, forwarders, name)
		require.Equal(t, regions[zone], regions[zoneOf[forwarders[0]]])
		require.NotEqual(t, zone, zoneOf[forwarders[0]])
		require.NotEqual(t, regions[zone], regions[zoneOf[forwarders[1]]])
		for _, forwarder := range forwarders[2:] {
			require.Equal(t, regions[zone], regions[zoneOf[forwarder]], "the others are in the same region")
		}
	}
	smallRegistry := newGatewayRegistry(func() time.Time { return now }).withRegions(regions)
	smallRegistry.observe("g1", "a1")
	smallRegistry.observe("g2", "b1")
	require.Equal(t, []string{"g2"}, smallRegistry.forwardersFor("g1", "a1"), "a gateway of another region is better than none")
}
