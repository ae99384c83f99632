package replica

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

func TestAnnouncementOfAnotherSystemIsRejected(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	group := singlePartitionGroup(nodes("a", "b", "c"))
	group.System = 7
	require.NoError(t, opened.write(groupRecord(group)))
	server := &service{node: "a", state: opened, directory: directory.NewState(opened.now, nil), peers: newFailureDetector(opened.now)}
	foreignGroup := singlePartitionGroup(nodes("a", "b", "c"))
	foreignGroup.Epoch = group.Epoch + 5
	for _, foreignGroup.System = range []uint64{8, 0} {
		_, err = server.Announce(t.Context(), connect.NewRequest(&replicav1.AnnounceRequest{Group: foreignGroup, Node: "b", Seat: 1, Incarnation: 9}))
		var refused *directory.ForeignSystem
		require.ErrorAs(t, err, &refused)
		require.False(t, server.peers.isHealthy("b"), "the announcement is from another node of that name")
		require.Empty(t, opened.standing(0, group.Epoch).Seen)

		// Such a group is not written to the disk in any other way either.
		require.NoError(t, opened.write(groupRecord(foreignGroup)))
		require.Equal(t, group, opened.currentGroup(0))
	}
	opened.log.Close()
}

func TestAllGroupsShareSystemID(t *testing.T) {
	require.NotZero(t, newSystemID())
	layout := singlePartitionGroup(nodes("a", "b", "c"))
	layout.System = newSystemID()
	require.Equal(t, layout.System, nextGroup(statusWithFailed(layout, "b", "a", "b", "c")).System)
	require.Equal(t, layout.System, singleSeatConfinedGroup(layout, 1, nodes("a")[0], 1).System)
}

// A replica without records once accepted the group of the first node that announced itself, and
// then rejected its own system's group.
func TestReplicaWithoutRecordsIgnoresUnverifiedGroup(t *testing.T) {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	server := &service{node: "a", state: opened, directory: directory.NewState(opened.now, nil), peers: newFailureDetector(opened.now)}
	var queued []*replicav1.Group
	server.directory.SetUnverifiedGroupHandler(func(group *replicav1.Group) { queued = append(queued, group) })
	message := &replicav1.AnnounceRequest{Group: singlePartitionGroup(nodes("a", "b", "c")), Node: "b"}
	for _, verified := range []bool{false, true} {
		if verified {
			require.Equal(t, []*replicav1.Group{message.Group}, queued)
			server.directory.ApplyGroup(queued[0], directory.SourceVerifiedPeer)
		}
		_, err = server.Announce(t.Context(), connect.NewRequest(message))
		require.NoError(t, err)
		require.Equal(t, verified, opened.currentGroup(0) != nil)
		require.Equal(t, verified, len(server.directory.Groups()) > 0)
	}
}

// serveProcess serves the calls of a replica process without records, and returns its address.
func serveProcess(t *testing.T, processID string) string {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	handler := &service{node: "a", state: opened, directory: directory.NewState(time.Now, nil), peers: newFailureDetector(time.Now)}
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(handler, connect.WithInterceptors(processIDInterceptor(processID))))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// replicaWithoutSystem returns node a, without records, in a process with the given ID.
func replicaWithoutSystem(processID string, store directory.Store) *Replica {
	state := directory.NewState(time.Now, nil)
	r := &Replica{options: Options{Node: "a"}, processID: processID, directory: state, store: store, unverifiedGroups: make(chan *replicav1.Group, maxUnverifiedGroups)}
	state.SetUnverifiedGroupHandler(r.queueUnverifiedGroup)
	r.quorum = quorum.NewClient(state, "z", http.DefaultClient)
	return r
}

// groupAt returns a group that lists node a with an address.
func groupAt(address string) *replicav1.Group {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	group.Members[0].Address = address
	return group
}

// The address may lead to this process directly or through a proxy.
func TestGroupIsVerifiedByAddressOfThisProcess(t *testing.T) {
	const process = "own"
	own, ofSameName := serveProcess(t, process), serveProcess(t, "another")
	proxy, err := transporttest.NewProxy(own)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	for address, verified := range map[string]bool{own: true, proxy.Address(): true, ofSameName: false, "127.0.0.1:1": false} {
		r := replicaWithoutSystem(process, nil)
		require.Equal(t, verified, r.verifyGroup(t.Context(), groupAt(address)), address)
		require.Equal(t, verified, r.directory.AcceptsPeerGroups(), address)
	}
}

// blockedStore answers no call before the test ends.
type blockedStore struct {
	directory.Store
	ended <-chan struct{}
}

func (s blockedStore) Get(context.Context, directory.Kind, string) (directory.Object, bool, error) {
	<-s.ended
	return directory.Object{}, false, context.Canceled
}

// Groups of another system must not keep a replica that has lost its disk from its own group while
// the store is unavailable.
func TestUnverifiableGroupsDoNotBlockVerification(t *testing.T) {
	const process = "own"
	r := replicaWithoutSystem(process, blockedStore{ended: t.Context().Done()})
	foreignGroup := groupAt(serveProcess(t, "another"))
	for range 3 {
		r.directory.ApplyPeerGroup(foreignGroup, "b")
	}
	r.directory.ApplyPeerGroup(groupAt(serveProcess(t, process)), "b")
	go r.runGroupVerification(t.Context())
	require.Eventually(t, r.directory.AcceptsPeerGroups, time.Minute, time.Millisecond)
}

func TestSystemIDIsAssignedOnceAllMembersStoreIt(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusAllInSync(group, nodes("a", "b", "c"))
	status.storesSystemID = func(string) bool { return true }
	withID := groupWithSystemID(status, 7)
	require.Equal(t, uint64(7), withID.System)
	require.Equal(t, group.Epoch+1, withID.Epoch)
	require.Equal(t, memberNames(group), memberNames(withID))
	require.Nil(t, groupWithSystemID(statusAllInSync(withID, nodes("a", "b", "c")), 8), "the group has an ID already")
	status.storesSystemID = allExcept("b")
	require.Nil(t, groupWithSystemID(status, 7), "a process of an earlier release would drop the ID")
	status.storesSystemID, status.isInSync = allExcept(), allExcept("c")
	require.Nil(t, groupWithSystemID(status, 7), "an absent member may run an earlier release")
}
