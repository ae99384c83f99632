package transporttest

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// An address was taken by another process's listener before the daemon that was told it listened.
func TestAddressesAreNoneThatTheSystemGivesToOthers(t *testing.T) {
	addresses := NewAddresses()
	one, err := addresses.Next()
	require.NoError(t, err)
	other, err := addresses.Next()
	require.NoError(t, err)
	require.NotEqual(t, one, other)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	require.NotEqual(t, addresses.IP(), listener.Addr().(*net.TCPAddr).IP.String())
}
