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

func TestStoppingMemberStaysUntilStandbyIsInSync(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "spare"))
	seen.stopping = only("b")
	grown := nextGroup(seen)
	require.Equal(t, []string{"a", "b", "c", "spare"}, memberNames(grown))
	require.Zero(t, proposalRank(seen, "b"), "it comes first")
	require.Equal(t, 1, proposalRank(seen, "a"))
	require.False(t, enoughWithout(seen, "b", seen.settled))
	seen.group = allReceived(grown)
	seen.settled = except("spare")
	require.False(t, enoughWithout(seen, "b", seen.settled))
	seen.settled = except()
	require.True(t, enoughWithout(seen, "b", seen.settled))
	seen.nodes = nodes("a", "b", "c", "spare")
	require.Nil(t, nextGroup(seen), "it may come back soon")
	seen.group, seen.nodes = group, nodes("a", "b", "c")
	require.Nil(t, nextGroup(seen), "a group does not shrink for a member that may come back")
}

// A member that had stopped and stayed silent kept its vote beside the one that was there for it.
func TestStoppedMemberIsRemovedWhenEnoughRemain(t *testing.T) {
	seen := seenAll(allReceived(nextGroup(seenAll(oneGroup(nodes("a", "b", "c")), nodes("a", "b", "c", "spare")))), nodes("a", "b", "c", "spare"))
	seen.healthy, seen.settled = except("b"), except("b")
	next := nextGroup(seen)
	require.Equal(t, []string{"a", "c", "spare"}, memberNames(next))
	require.Nil(t, next.Removed)
}

// A full group kept the member that had joined for one that stopped and came back.
func TestSurplusMemberIsRemoved(t *testing.T) {
	full := oneGroup(nodes("a", "b", "c", "d", "e"))
	seen := seenAll(full, nodes("a", "b", "c", "d", "e", "spare"))
	seen.stopping = only("b")
	grown := allReceived(nextGroup(seen))
	require.Len(t, grown.Members, maxSeats+1)
	require.Equal(t, memberNames(full), memberNames(nextGroup(seenAll(grown, seen.nodes))))
}

func TestRetiringMemberLeavesBeforeStoppingOne(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "spare"))
	seen.stopping, seen.retiring = only("b"), map[string]bool{"c": true}
	grown := nextGroup(seen)
	require.Equal(t, []string{"a", "b", "c", "spare"}, memberNames(grown))
	seen.group = allReceived(grown)
	require.Equal(t, []string{"a", "b", "spare"}, memberNames(nextGroup(seen)))
}

func TestStoppingNodeIsUnhealthyUntilRestart(t *testing.T) {
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

// A replica that was to stop ended after 3 s of a grace of 8, whether or not another one held a seat.
func TestStopWaitFollowsGracePeriod(t *testing.T) {
	require.Equal(t, 7*time.Second, stopWait(8*time.Second))
	require.Equal(t, leastStopWait, stopWait(time.Second), "one that joins has the time that it needs")
}
