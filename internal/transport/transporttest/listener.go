package transporttest

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// ServeConnections starts a listener that handles each connection with a function, then closes it, and returns its
// address.
func ServeConnections(t testing.TB, handle func(connection net.Conn, reader *bufio.Reader)) (address string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				handle(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}
