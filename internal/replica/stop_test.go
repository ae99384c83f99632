package replica

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

func TestAStoppingMembersSeatGoesToANodeThatStandsBy(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "spare"))
	seen.stopping = "b"
	require.Equal(t, []string{"a", "spare", "c"}, memberNames(nextGroup(seen)))
	require.Zero(t, proposalRank(seen, "b"), "nobody else knows that it stops")
	seen.nodes = nodes("a", "b", "c")
	require.Nil(t, nextGroup(seen), "a group does not shrink for a member that may come back")
}

func TestAnEmptiedMemberGoesBeforeOneThatStops(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "spare"))
	seen.stopping, seen.retiring = "b", map[string]bool{"c": true}
	require.Equal(t, []string{"a", "b", "spare"}, memberNames(nextGroup(seen)))
}

func TestANodeThatIsToStopCountsAsGoneUntilItStartsAgain(t *testing.T) {
	now := time.Unix(100, 0)
	peers := newFailureDetector(func() time.Time { return now })
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	answering := &service{state: opened, directory: directory.NewState(time.Now, nil), peers: peers}
	for _, stopping := range []bool{false, true, false} {
		_, err := answering.Announce(t.Context(), connect.NewRequest(&replicav1.AnnounceRequest{Node: "a", Stopping: stopping}))
		require.NoError(t, err)
		require.Equal(t, !stopping, peers.healthy("a"))
	}
}
