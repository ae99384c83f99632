package worker

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOnConnectedIsCalledForNewConnections holds that a request on a kept connection tells none.
func TestOnConnectedIsCalledForNewConnections(t *testing.T) {
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, answer(body, "ok", ""))
		}
	})
	pool := newPool()
	var told []time.Duration
	for range 3 {
		request := &Request{
			ID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("r"),
			OnConnected: func(took time.Duration) { told = append(told, took) },
		}
		got, err := pool.Send(context.Background(), address, 0, request, readHead)
		require.NoError(t, err)
		_, err = io.ReadAll(got.Body)
		require.NoError(t, err)
		got.Close()
	}
	require.Len(t, told, 1)
	require.Positive(t, told[0])
}
