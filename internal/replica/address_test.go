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

// TestAnswerFromAnotherNodeAtSameAddressIsIgnored: the seat of a machine that was gone
// would stay with it for as long as its successor answers at its address.
func TestAnswerFromAnotherNodeAtSameAddressIsIgnored(t *testing.T) {
	answering, group, _ := copier(t, 3)
	_, handler := replicav1connect.NewReplicaServiceHandler(&service{
		node: "successor", state: answering.state, directory: answering.directory, peers: newFailureDetector(answering.peers.now),
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	asking, _, _ := copier(t, 3)
	at := strings.TrimPrefix(server.URL, "http://")
	message := announcementOf(asking.state, group, "n2")
	asking.announceTo(t.Context(), &replicav1.Member{Node: "gone", Address: at}, message)
	require.False(t, asking.peers.healthy("gone"))
	asking.announceTo(t.Context(), &replicav1.Member{Node: "successor", Address: at}, message)
	require.True(t, asking.peers.healthy("successor"))

	// A node of a release that does not tell its name is believed.
	response, err := (&service{state: answering.state, directory: answering.directory, peers: newFailureDetector(answering.peers.now)}).Announce(t.Context(), connect.NewRequest(message))
	require.NoError(t, err)
	require.Empty(t, response.Msg.Node)
}
