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

// grantOf asks a service for requests of a subject at 20 a second.
func grantOf(t *testing.T, asked *service, kind replicav1.GrantKind, name string) uint32 {
	response, err := asked.Grant(t.Context(), connect.NewRequest(&replicav1.GrantRequest{
		Epoch: 1, Tenant: name, Kind: kind, Version: 1, Rate: 20, Wanted: 1,
	}))
	require.NoError(t, err)
	return response.Msg.Granted
}

// TestGrantKindsAreIndependent holds that a tenant and a worker of the same name have
// buckets of their own, with the tolerance of their kind.
func TestGrantKindsAreIndependent(t *testing.T) {
	opened, err := openFolder(t.TempDir())
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	group := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Node: "a", Claim: 1}}}
	require.NoError(t, opened.write(groupRecord(group), identityRecord(0, &replicav1.Identity{Claim: 1, Incarnation: 3, Recovered: true})))
	now := time.Unix(1000, 0)
	held := newGrants("a", func() time.Time { return now },
		quota.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}, quota.Tolerance{Window: time.Second, Overshoot: 0.5, Slack: 5})
	held.take([]*replicav1.Group{group})
	asked := &service{state: opened, directory: directory.NewState(time.Now, nil), grants: held}
	const tenant, cold = replicav1.GrantKind_GRANT_KIND_TENANT, replicav1.GrantKind_GRANT_KIND_COLD_WORKER
	require.Zero(t, grantOf(t, asked, cold, "a-1"), "a member that starts has nothing")
	now = now.Add(time.Minute)
	granted := func(kind replicav1.GrantKind) (count int) {
		for grantOf(t, asked, kind, "a-1") > 0 {
			count++
		}
		return count
	}
	// 0.9 of the tolerance, less what may be used late: 0.9 x (0.5 x 20 + 5) - 20 x 0.2.
	require.Equal(t, 9, granted(cold))
	require.Equal(t, 23, granted(tenant), "0.9 x (0.1 x 100 + 20) - 20 x 0.2")
	require.Zero(t, granted(cold))
	require.Zero(t, grantOf(t, asked, 7, "a-1"), "a kind that is not known gets nothing")
}
