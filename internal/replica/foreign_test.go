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
	group := oneGroup(nodes("a", "b", "c"))
	group.System = 7
	require.NoError(t, opened.write(groupRecord(group)))
	hearing := &service{node: "a", state: opened, directory: directory.NewState(opened.now, nil), peers: newFailureDetector(opened.now)}
	foreign := oneGroup(nodes("a", "b", "c"))
	foreign.Epoch = group.Epoch + 5
	for _, foreign.System = range []uint64{8, 0} {
		_, err = hearing.Announce(t.Context(), connect.NewRequest(&replicav1.AnnounceRequest{Group: foreign, Node: "b", Seat: 1, Incarnation: 9}))
		var refused *directory.ForeignSystem
		require.ErrorAs(t, err, &refused)
		require.False(t, hearing.peers.healthy("b"), "its word is of another node of that name")
		require.Empty(t, opened.standing(0, group.Epoch).Seen)

		// Neither by any other way to the disk.
		require.NoError(t, opened.write(groupRecord(foreign)))
		require.Equal(t, group, opened.currentGroup(0))
	}
	opened.log.Close()
}

func TestAllGroupsShareSystemID(t *testing.T) {
	require.NotZero(t, drawSystem())
	layout := oneGroup(nodes("a", "b", "c"))
	layout.System = drawSystem()
	require.Equal(t, layout.System, nextGroup(lostMember(layout, "b", "a", "b", "c")).System)
	require.Equal(t, layout.System, confinedGroup(layout, 1, nodes("a")[0], 1).System)
}

// A replica without records took the group of whoever announced itself first, and refused its own system's after that.
func TestReplicaWithoutRecordsIgnoresUnverifiedGroup(t *testing.T) {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	hearing := &service{node: "a", state: opened, directory: directory.NewState(opened.now, nil), peers: newFailureDetector(opened.now)}
	var held []*replicav1.Group
	hearing.directory.SetUnverifiedGroupHandler(func(group *replicav1.Group) { held = append(held, group) })
	message := &replicav1.AnnounceRequest{Group: oneGroup(nodes("a", "b", "c")), Node: "b"}
	for _, proven := range []bool{false, true} {
		if proven {
			require.Equal(t, []*replicav1.Group{message.Group}, held)
			hearing.directory.ApplyGroup(held[0], directory.SourceVerifiedPeer)
		}
		_, err = hearing.Announce(t.Context(), connect.NewRequest(message))
		require.NoError(t, err)
		require.Equal(t, proven, opened.currentGroup(0) != nil)
		require.Equal(t, proven, len(hearing.directory.Groups()) > 0)
	}
}

// serveProcess serves the calls of a replica process that holds nothing, and returns its address.
func serveProcess(t *testing.T, process string) string {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	answering := &service{node: "a", state: opened, directory: directory.NewState(time.Now, nil), peers: newFailureDetector(time.Now)}
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(answering, connect.WithInterceptors(identifyProcess(process))))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// undiscovered is node a, in a process of that name, without records.
func undiscovered(process string, store directory.Store) *Replica {
	state := directory.NewState(time.Now, nil)
	r := &Replica{options: Options{Node: "a"}, process: process, directory: state, objects: store, unproven: make(chan *replicav1.Group, maxUnproven)}
	state.SetUnverifiedGroupHandler(r.holdUnproven)
	r.quorum = quorum.NewClient(state, "z", http.DefaultClient)
	return r
}

// groupAt returns a group that names node a at an address.
func groupAt(address string) *replicav1.Group {
	group := oneGroup(nodes("a", "b", "c"))
	group.Members[0].Address = address
	return group
}

// A group is this replica's own where the address that it gives for the node leads to this process, directly or not.
func TestGroupIsVerifiedByAddressOfThisProcess(t *testing.T) {
	const process = "own"
	own, ofSameName := serveProcess(t, process), serveProcess(t, "another")
	behindProxy, err := transporttest.NewProxy(own)
	require.NoError(t, err)
	t.Cleanup(behindProxy.Close)
	for address, proven := range map[string]bool{own: true, behindProxy.Address(): true, ofSameName: false, "127.0.0.1:1": false} {
		r := undiscovered(process, nil)
		require.Equal(t, proven, r.prove(t.Context(), groupAt(address)), address)
		require.Equal(t, proven, r.directory.AcceptsPeerGroups(), address)
	}
}

// blockedStore answers nobody before a test ends.
type blockedStore struct {
	directory.Store
	ended <-chan struct{}
}

func (s blockedStore) Get(context.Context, directory.Kind, string) (directory.Object, bool, error) {
	<-s.ended
	return directory.Object{}, false, context.Canceled
}

// Groups of another system that came first would have kept a replica without its disk from its own one while the store is silent.
func TestUnverifiableGroupsDoNotBlockVerification(t *testing.T) {
	const process = "own"
	r := undiscovered(process, blockedStore{ended: t.Context().Done()})
	foreign := groupAt(serveProcess(t, "another"))
	for range 3 {
		r.directory.ApplyPeerGroup(foreign, "b")
	}
	r.directory.ApplyPeerGroup(groupAt(serveProcess(t, process)), "b")
	go r.proveGroups(t.Context())
	require.Eventually(t, r.directory.AcceptsPeerGroups, time.Minute, time.Millisecond)
}

func TestSystemIDIsAssignedOnceAllMembersStoreIt(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c"))
	seen.keepsSystem = func(string) bool { return true }
	named := namedGroup(seen, 7)
	require.Equal(t, uint64(7), named.System)
	require.Equal(t, group.Epoch+1, named.Epoch)
	require.Equal(t, memberNames(group), memberNames(named))
	require.Nil(t, namedGroup(seenAll(named, nodes("a", "b", "c")), 8), "it has a name")
	seen.keepsSystem = except("b")
	require.Nil(t, namedGroup(seen, 7), "a process of a former release would drop it")
	seen.keepsSystem, seen.settled = except(), except("c")
	require.Nil(t, namedGroup(seen, 7), "one that is not there may be of a former release")
}
