package topology_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
)

// echoServer answers every connection with what it gets.
func echoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				_, _ = io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

func TestLinkDelaysBothWaysAndKeepsEveryByte(t *testing.T) {
	const delay = 20 * time.Millisecond
	network := topology.NewNetwork(topology.Delays{BetweenZones: delay})
	address := echoServer(t)
	network.Register(address, topology.Place{Zone: "b", Daemon: "d2"})
	connection, err := network.Dialer(topology.Place{Zone: "a", Daemon: "d1"})(context.Background(), "tcp", address)
	require.NoError(t, err)
	sent := bytes.Repeat([]byte("barley"), 50_000)
	began := time.Now()
	go func() { _, _ = connection.Write(sent) }()
	received := make([]byte, len(sent))
	_, err = io.ReadFull(connection, received)
	require.NoError(t, err)
	require.Equal(t, sent, received)
	require.GreaterOrEqual(t, time.Since(began), 2*delay)
	require.NoError(t, connection.Close())
	require.EqualValues(t, len(sent), network.PeerBytes("d1"))
}

func TestCutStallsOpenConnectionsAndRefusesNewOnes(t *testing.T) {
	network := topology.NewNetwork(topology.Delays{})
	address := echoServer(t)
	network.Register(address, topology.Place{Zone: "b"})
	dial := network.Dialer(topology.Place{Zone: "a"})
	connection, err := dial(context.Background(), "tcp", address)
	require.NoError(t, err)
	network.Cut("b", "a")
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = dial(expired, "tcp", address)
	require.Error(t, err)
	_, err = connection.Write([]byte("late"))
	require.NoError(t, err)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = connection.Read(make([]byte, 4))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing passes while the zones are cut off")
	network.Heal("a", "b")
	require.NoError(t, connection.SetReadDeadline(time.Time{}))
	received := make([]byte, 4)
	_, err = io.ReadFull(connection, received)
	require.NoError(t, err)
	require.Equal(t, "late", string(received))
	require.NoError(t, connection.Close())
}
