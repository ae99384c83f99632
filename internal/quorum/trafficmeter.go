package quorum

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/traffic"
)

// trafficMeter counts the bytes of calls by the distance of the called process. The zones of
// processes that are in no group, such as other gateways, are unknown; they count as distant.
type trafficMeter struct {
	transport http.RoundTripper
	client    *Client
	adder     traffic.Adder
	// classByAddress caches the distance of called addresses. An address belongs to the same
	// process for as long as this process runs.
	classByAddress sync.Map
}

// MeterTraffic makes the client count the bytes of all its calls. It must be called after
// SetTopology, and before the client is used.
func (c *Client) MeterTraffic(adder traffic.Adder) {
	transport := c.httpClient.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	c.httpClient = &http.Client{Transport: &trafficMeter{transport: transport, client: c, adder: adder}}
	c.forwarders.httpClient = c.httpClient
}

// RoundTrip makes one call and counts its bytes.
func (m *trafficMeter) RoundTrip(request *http.Request) (*http.Response, error) {
	class, cause := m.distanceClass(request.URL.Host), trafficCause(request.URL.Path)
	m.adder.Add(class, cause, int(request.ContentLength))
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &meteredBody{Reader: traffic.NewCountingReader(m.adder, response.Body, class, cause), Closer: response.Body}
	return response, nil
}

type meteredBody struct {
	io.Reader
	io.Closer
}

// trafficCause returns the purpose of a call by its path.
func trafficCause(path string) traffic.Cause {
	if strings.HasSuffix(path, replicav1connect.ReplicaServiceDirectoryProcedure) {
		return traffic.Directory
	}
	return traffic.Records
}

// distanceClass returns the distance class of the process at an address.
func (m *trafficMeter) distanceClass(address string) distance.Class {
	if known, found := m.classByAddress.Load(address); found {
		return known.(distance.Class)
	}
	for _, member := range m.client.allMembers() {
		if member.Address == address {
			class := m.client.topology.Class(member.Zone)
			m.classByAddress.Store(address, class)
			return class
		}
	}
	if m.client.topology.MultiRegion() {
		return distance.OtherRegion
	}
	return distance.OwnRegion
}
