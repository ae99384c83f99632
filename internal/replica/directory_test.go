package replica

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// askNews makes one question that does not wait.
func askNews(t *testing.T, asked *service, forwarder string, digest uint64) *replicav1.DirectoryResponse {
	request := &replicav1.DirectoryRequest{Forwarder: forwarder, ForwardersDigest: digest}
	response, err := asked.Directory(t.Context(), connect.NewRequest(request))
	require.NoError(t, err)
	return response.Msg
}

// TestDirectoryNamesOtherGateways holds that gateways learn of each other from the
// questions that they ask anyway, and are told again only when that changes.
func TestDirectoryNamesOtherGateways(t *testing.T) {
	asked := &service{
		directory: directory.NewState(time.Now, nil), roster: newRoster(time.Now), followers: newFollowed(), observations: newObservations(time.Now),
		age: func() (time.Duration, bool) { return 0, true },
	}
	require.Empty(t, askNews(t, asked, "a", 0).Forwarders, "nobody else asked yet")
	require.Equal(t, []string{"a"}, askNews(t, asked, "b", 0).Forwarders)
	require.Equal(t, []string{"b"}, askNews(t, asked, "a", 0).Forwarders)
	known := quorum.ForwardersDigest([]string{"b"})
	require.Empty(t, askNews(t, asked, "a", known).Forwarders, "nothing new")
	require.Len(t, askNews(t, asked, "c", 0).Forwarders, 2)
	require.Len(t, askNews(t, asked, "a", known).Forwarders, 2, "one more")
	require.Empty(t, askNews(t, asked, "", 0).Forwarders, "a replica calls for nobody")
}
