package gateway

import (
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// workerConnectionLimit returns how many connections this gateway may have to one worker; 0 is no limit.
func (r *request) workerConnectionLimit() int {
	if r.service.MaxConnections <= 0 {
		return 0
	}
	return max(minWorkerConnections, r.service.MaxConnections/workerConnectionDivisor)
}

// workerRequest builds the request for one worker.
func (r *request) workerRequest(chosen directory.Worker, lastEventID string) *worker.Request {
	header := make(http.Header, len(r.incoming.Header)+4)
	for name, values := range r.incoming.Header {
		header[name] = values
	}
	dropConnectionHeaders(header)
	if _, named := header["User-Agent"]; !named {
		// Prevents net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	attemptMetadata := AttemptMetadata{
		WorkerID: chosen.Instance, Tenant: r.tenantName(), Timeout: time.Until(r.deadline), Priority: -1, LastEventID: lastEventID,
	}
	if r.service.Engine != nil {
		attemptMetadata.Priority = r.gateway.enginePriority(r)
	}
	r.gateway.options.HeaderCodec.WriteAttempt(header, attemptMetadata)
	return &worker.Request{
		ID: r.metadata.RequestID, Incarnation: chosen.ID, Method: r.incoming.Method, Target: r.incoming.RequestURI,
		Host: r.incoming.Host, Header: header, Body: r.body, SilenceTimeout: r.responseStartTimeout(), MaxBodyBytes: maxResponseBytes,
		OnConnected: func(took time.Duration) { r.gateway.connectTimes.Observe(time.Now(), chosen.Zone, took) },
	}
}

// dropConnectionHeaders removes the hop-by-hop headers.
func dropConnectionHeaders(header http.Header) {
	for _, name := range header.Values("Connection") {
		header.Del(name)
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}

var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// copyHeaders copies the headers of a worker's response to the response to the client.
func copyHeaders(to, from http.Header) {
	connection := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	dropConnectionHeaders(to)
	if connection != "" {
		// Keep the Connection header that the gateway has set.
		to.Set("Connection", connection)
	}
}
