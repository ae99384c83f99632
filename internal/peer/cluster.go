package peer

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

const (
	// clusterHeader names the cluster that a call is for.
	clusterHeader = "Barleyshelf-Cluster"
	// strangersEvery is the least time between two lines about calls of other clusters.
	strangersEvery = 10 * time.Second
)

// namesCluster sets the header of each call of a client.
type namesCluster struct {
	cluster string
	next    *http.Transport
}

// CloseIdleConnections has the client's own reach the connections.
func (n *namesCluster) CloseIdleConnections() { n.next.CloseIdleConnections() }

// RoundTrip makes a call. connect made the request for this call alone, so its header may be set.
func (n *namesCluster) RoundTrip(request *http.Request) (*http.Response, error) {
	request.Header.Set(clusterHeader, n.cluster)
	return n.next.RoundTrip(request)
}

// clusterGuard refuses calls that are for another cluster. A daemon goes on calling the address
// of one that has gone, and the address may be given to a daemon of another deployment: without
// the guard the two exchange members, items and configurations, and the one with the lower
// versions loses its own.
type clusterGuard struct {
	cluster string
	next    http.Handler

	mutex sync.Mutex
	told  time.Time
	// untold counts the calls refused since the last line.
	untold int
}

// ServeHTTP lets calls through that are for this cluster. One that names none is of a version
// that could not, and is let in so that versions can be replaced one daemon at a time.
func (g *clusterGuard) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	called := request.Header.Get(clusterHeader)
	if called == "" || called == g.cluster {
		g.next.ServeHTTP(w, request)
		return
	}
	g.tell(called, request.RemoteAddr)
	refusal := connect.NewError(connect.CodeFailedPrecondition, &OtherCluster{Called: called, Own: g.cluster})
	refusal.Meta().Set(clusterHeader, g.cluster)
	// A caller that has gone meanwhile takes the call for unanswered.
	_ = connect.NewErrorWriter().Write(w, request, refusal)
}

// tell logs refused calls, now and then.
func (g *clusterGuard) tell(called, from string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.untold++
	if time.Since(g.told) < strangersEvery {
		return
	}
	eventOtherCluster.Log("called", called, "own", g.cluster, "from", from, "calls", g.untold)
	g.told, g.untold = time.Now(), 0
}

// callFailed returns the failure of a call: *OtherCluster where the daemon at the address
// refused it as not its cluster's, and else *Unreachable.
func (c *Client) callFailed(address string, cause error) error {
	var refused *connect.Error
	if errors.As(cause, &refused) && refused.Code() == connect.CodeFailedPrecondition {
		if own := refused.Meta().Get(clusterHeader); own != "" {
			return &OtherCluster{Called: c.options.Cluster, Own: own}
		}
	}
	return &Unreachable{Address: address, Cause: cause}
}
