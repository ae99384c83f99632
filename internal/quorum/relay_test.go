package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

func TestReplicasThatHearNothingArePassedOver(t *testing.T) {
	relay := NewRelay(nil, directory.NewState(time.Now, nil), nil, "")
	addresses := []string{"a", "b", "c"}
	require.Equal(t, "b", relay.next(addresses, 1))
	relay.passOver("b", true)
	require.Equal(t, "c", relay.next(addresses, 1))
	relay.passOver("c", true)
	require.Equal(t, "a", relay.next(addresses, 1))
	relay.passOver("a", true)
	require.Equal(t, "b", relay.next(addresses, 1), "where none hears anything they are asked in turn")
	relay.passOver("c", false)
	require.Equal(t, "c", relay.next(addresses, 4))
}
