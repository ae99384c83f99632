package replica

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// requestGrant requests a grant for a name at a rate of 20 a second.
func requestGrant(t *testing.T, server *service, kind replicav1.GrantKind, name string) uint32 {
	response, err := server.Grant(t.Context(), connect.NewRequest(&replicav1.GrantRequest{
		Epoch: 1, Tenant: name, Kind: kind, Version: 1, Rate: 20, Wanted: 1,
	}))
	require.NoError(t, err)
	return response.Msg.Granted
}

// A tenant and a worker of the same name have separate buckets, each with the tolerance of its
// kind.
func TestGrantKindsAreIndependent(t *testing.T) {
	opened, err := openDataFolder(t.TempDir())
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	group := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Node: "a", Claim: 1}}}
	require.NoError(t, opened.write(groupRecord(group), identityRecord(0, &replicav1.Identity{Claim: 1, Incarnation: 3, Recovered: true})))
	now := time.Unix(1000, 0)
	allocator := newGrantAllocator("a", func() time.Time { return now },
		quota.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}, quota.Tolerance{Window: time.Second, Overshoot: 0.5, Slack: 5})
	allocator.updateSeats([]*replicav1.Group{group})
	server := &service{state: opened, directory: directory.NewState(time.Now, nil), grants: allocator}
	const tenant, cold = replicav1.GrantKind_GRANT_KIND_TENANT, replicav1.GrantKind_GRANT_KIND_COLD_WORKER
	require.Zero(t, requestGrant(t, server, cold, "a-1"), "a member that starts has nothing to grant")
	now = now.Add(time.Minute)
	granted := func(kind replicav1.GrantKind) (count int) {
		for requestGrant(t, server, kind, "a-1") > 0 {
			count++
		}
		return count
	}
	// 0.9 of the tolerance, minus what may be used late: 0.9 x (0.5 x 20 + 5) - 20 x 0.2.
	require.Equal(t, 9, granted(cold))
	require.Equal(t, 23, granted(tenant), "0.9 x (0.1 x 100 + 20) - 20 x 0.2")
	require.Zero(t, granted(cold))
	require.Zero(t, requestGrant(t, server, 7, "a-1"), "an unknown kind gets nothing")
}
