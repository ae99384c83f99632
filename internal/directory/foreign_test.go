package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func TestForeignGroupIsRejectedDespiteHigherEpoch(t *testing.T) {
	state := NewState(time.Now, nil)
	own := &replicav1.Group{Epoch: 3, Partitions: 2, System: 7}
	state.ApplyPeerGroup(own, "a")
	state.ApplyPeerGroup(&replicav1.Group{Epoch: 9, Partitions: 2, System: 8}, "b")
	state.ApplyGroup(&replicav1.Group{Epoch: 9, Partition: 1, Partitions: 2, System: 8}, SourceStore)
	require.Equal(t, []*replicav1.Group{own, nil}, state.Groups())
	state.ApplyPeerGroup(&replicav1.Group{Epoch: 4, Partitions: 2}, "without a system")
	require.Equal(t, []*replicav1.Group{own, nil}, state.Groups())
}

func TestGroupWithoutSystemIsReplacedByOneWithSystem(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ApplyPeerGroup(&replicav1.Group{Epoch: 3}, "a")
	named := &replicav1.Group{Epoch: 4, System: 7}
	state.ApplyGroup(named, SourceStore)
	require.Equal(t, named, state.Group(0))
}
