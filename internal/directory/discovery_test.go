package directory

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// groupStore returns one group, no group or an error.
type groupStore struct {
	Store
	group *replicav1.Group
	err   error
}

func (g *groupStore) Get(context.Context, Kind, string) (Object, bool, error) {
	return Object{Group: g.group}, g.group != nil && g.err == nil, g.err
}

func TestDiscoverSystemReadsGroupFromStore(t *testing.T) {
	state := NewState(time.Now, nil)
	require.NoError(t, DiscoverSystem(t.Context(), &groupStore{group: &replicav1.Group{Epoch: 2, System: 7}}, state, time.Minute))
	require.Equal(t, uint64(7), SystemOf(state.Groups()))
	require.NoError(t, DiscoverSystem(t.Context(), &groupStore{}, NewState(time.Now, nil), time.Minute), "no system has been formed yet")
	unavailable := &groupStore{err: &StoreRefused{Status: 503}}
	require.Error(t, DiscoverSystem(t.Context(), unavailable, NewState(time.Now, nil), time.Millisecond))
	require.NoError(t, DiscoverSystem(t.Context(), unavailable, state, time.Minute), "the system is known already")
}

func TestVerifySystemDetectsForeignSystem(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ApplyPeerGroup(&replicav1.Group{Epoch: 2, System: 7}, "a")
	require.NoError(t, VerifySystem(t.Context(), &groupStore{group: &replicav1.Group{Epoch: 5, System: 7}}, state))
	var foreign *ForeignSystem
	require.ErrorAs(t, VerifySystem(t.Context(), &groupStore{group: &replicav1.Group{Epoch: 1, System: 8}}, state), &foreign)
}
