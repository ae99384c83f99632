package replica

import (
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// A replaced machine would keep its seat for as long as another node answers at its address.
func TestAnswerFromAnotherNodeAtSameAddressIsIgnored(t *testing.T) {
	responder, group, _ := newCopyingReplica(t, 3)
	_, handler := replicav1connect.NewReplicaServiceHandler(&service{
		node: "successor", state: responder.state, directory: responder.directory, peers: newFailureDetector(responder.peers.now),
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	caller, _, _ := newCopyingReplica(t, 3)
	at := strings.TrimPrefix(server.URL, "http://")
	message := newAnnouncement(caller.state, group, "n2")
	caller.announceTo(t.Context(), &replicav1.Member{Node: "gone", Address: at}, message)
	require.False(t, caller.peers.isHealthy("gone"))
	caller.announceTo(t.Context(), &replicav1.Member{Node: "successor", Address: at}, message)
	require.True(t, caller.peers.isHealthy("successor"))

	// Nodes of earlier releases do not send their name. Their answers are accepted.
	response, err := (&service{state: responder.state, directory: responder.directory, peers: newFailureDetector(responder.peers.now)}).Announce(t.Context(), connect.NewRequest(message))
	require.NoError(t, err)
	require.Empty(t, response.Msg.Node)
}
