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

// meter counts the bytes of calls by how far the called process is. The zones of processes
// that are in no group, such as other gateways, are not known: they count as far.
type meter struct {
	calls   http.RoundTripper
	client  *Client
	counted traffic.Adder
	// classes are those of the addresses that were called. An address is one process's for
	// as long as this one runs.
	classes sync.Map
}

// MeterTraffic has the bytes of all calls counted. It is to be called after Locate, and before
// the client is used.
func (c *Client) MeterTraffic(counted traffic.Adder) {
	calls := c.http.Transport
	if calls == nil {
		calls = http.DefaultTransport
	}
	c.http = &http.Client{Transport: &meter{calls: calls, client: c, counted: counted}}
	c.forwarders.http = c.http
}

// RoundTrip makes one call.
func (m *meter) RoundTrip(request *http.Request) (*http.Response, error) {
	class, cause := m.class(request.URL.Host), causeOf(request.URL.Path)
	m.counted.Add(class, cause, int(request.ContentLength))
	response, err := m.calls.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &meteredBody{Reader: traffic.NewCountingReader(m.counted, response.Body, class, cause), Closer: response.Body}
	return response, nil
}

type meteredBody struct {
	io.Reader
	io.Closer
}

// causeOf returns what a call is for, by its path.
func causeOf(path string) traffic.Cause {
	if strings.HasSuffix(path, replicav1connect.ReplicaServiceDirectoryProcedure) {
		return traffic.Directory
	}
	return traffic.Records
}

// class returns how far the process at an address is.
func (m *meter) class(address string) distance.Class {
	if known, found := m.classes.Load(address); found {
		return known.(distance.Class)
	}
	for _, member := range m.client.members() {
		if member.Address == address {
			class := m.client.places.Class(member.Zone)
			m.classes.Store(address, class)
			return class
		}
	}
	if m.client.places.MultiRegion() {
		return distance.OtherRegion
	}
	return distance.OwnRegion
}
