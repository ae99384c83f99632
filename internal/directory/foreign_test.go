package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func TestAGroupOfAnotherSystemIsRefusedHoweverNewItIs(t *testing.T) {
	state := NewState(time.Now, nil)
	own := &replicav1.Group{Epoch: 3, Partitions: 2, System: 7}
	state.OfferGroup(own, "a")
	state.OfferGroup(&replicav1.Group{Epoch: 9, Partitions: 2, System: 8}, "b")
	state.OfferGroup(&replicav1.Group{Epoch: 9, Partition: 1, Partitions: 2, System: 8}, SourceStore)
	require.Equal(t, []*replicav1.Group{own, nil}, state.Groups())
	unnamed := &replicav1.Group{Epoch: 4, Partitions: 2}
	state.OfferGroup(unnamed, "of a former release")
	require.Equal(t, unnamed, state.Group(0))
}
