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

// Requests on reused connections must not call OnConnected.
func TestOnConnectedIsCalledForNewConnections(t *testing.T) {
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, encodeResponse(body, "ok", ""))
		}
	})
	pool := newPool()
	var durations []time.Duration
	for range 3 {
		request := &Request{
			ID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("r"),
			OnConnected: func(took time.Duration) { durations = append(durations, took) },
		}
		response, err := pool.Send(context.Background(), address, 0, request, readMetadata)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Close()
	}
	require.Len(t, durations, 1)
	require.Positive(t, durations[0])
}
