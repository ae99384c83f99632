package daemon_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/lab/demo"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
)

// A program opened and called at one daemon goes on at another, and a daemon
// that does not know it yet forwards.
func TestProgramIsServedByEveryDaemon(t *testing.T) {
	running := startDeployment(t)
	opened := running.open(t, 0, "session-1")
	first, err := running.call(t, 1, opened.ID, 1)
	require.NoError(t, err)
	second, err := running.call(t, 2, opened.ID, 2)
	require.NoError(t, err)
	input := modelCall(1, "hello").Input
	prompt := [][]byte{input, first.Text, input}
	require.Equal(t, string(emulator.ExpectedAnswer(testModel, "", prompt, 16)), string(second.Text))

	again, err := running.call(t, 0, opened.ID, 1)
	require.NoError(t, err)
	require.Equal(t, first.Text, again.Text, "a repeat is answered from the journal")
	ended, err := running.client(2).End(t.Context(), opened.ID)
	require.NoError(t, err)
	require.EqualValues(t, 2, ended.Spent.Turns)
	_, err = running.call(t, 1, opened.ID, 3)
	require.True(t, failure.IsType(err, "program_ended"), "%v", err)
}

// A daemon with a disk comes back with the journal it had, and one without a
// disk is admitted again; either way the program goes on with its history.
func TestProgramOutlivesTheRestartOfEveryDaemon(t *testing.T) {
	running := startDeployment(t)
	opened := running.open(t, 0, "session-1")
	first, err := running.call(t, 0, opened.ID, 1)
	require.NoError(t, err)
	for position, member := range running.cluster.Members {
		require.NoError(t, member.Stop(t.Context()))
		other := (position + 1) % len(running.cluster.Members)
		answer, err := running.call(t, other, opened.ID, 1)
		require.NoError(t, err)
		require.Equal(t, first.Text, answer.Text)
		require.NoError(t, member.Start(t.Context()))
		_, err = running.call(t, position, opened.ID, 1)
		require.NoError(t, err)
	}
}

// A daemon that has just started refuses as not ready, never as if the
// tenant were unknown.
func TestDaemonThatStartsKnowsItsTenantsOrIsNotReady(t *testing.T) {
	running := startDeployment(t)
	running.open(t, 0, "session-1")
	member := running.cluster.Members[1]
	for range 5 {
		member.Kill()
		require.NoError(t, member.Start(t.Context()))
		opened := running.open(t, 1, "session-1")
		require.NotEmpty(t, opened.ID)
	}
}

// A daemon whose address is taken fails to start before it tells any peer of
// itself, with a failure that names the address.
func TestDaemonWhoseAddressIsTakenDoesNotStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, taken.Close()) }()
	spec := topology.Spec{
		Node: "n1", Region: "r", Zone: "z1", PlatformAddress: "http://127.0.0.1:1",
		CallerAddress: "127.0.0.1:1", OperatorAddress: "127.0.0.1:2", PeerAddress: taken.Addr().String(),
	}
	prepared, err := demo.RealDaemon(spec)
	require.NoError(t, err)
	err = prepared.Start(t.Context())
	require.True(t, failure.IsType(err, "listen_failed"), "%v", err)
	require.Contains(t, err.Error(), spec.PeerAddress)
	prepared.Kill()
}
