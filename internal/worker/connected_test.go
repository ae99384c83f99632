package worker

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

// Requests on reused connections must not call OnConnected.
func TestOnConnectedIsCalledForNewConnections(t *testing.T) {
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
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
		id := newID()
		request := &Request{
			ID: id, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(id),
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

func TestConnectionOfLaterRequestsKeepsTheTimeAtWhichItWasDialed(t *testing.T) {
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, encodeResponse(body, "ok", ""))
		}
	})
	pool := newPool()
	before := time.Now()
	var dialedAt []time.Time
	for range 2 {
		id := newID()
		request := &Request{
			ID: id, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(id), Probe: &ConnectionProbe{},
		}
		require.Zero(t, request.Probe.DialedAt())
		response, err := pool.Send(context.Background(), address, 0, request, readMetadata)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Close()
		dialedAt = append(dialedAt, request.Probe.DialedAt())
	}
	require.WithinRange(t, dialedAt[0], before, time.Now())
	require.Equal(t, dialedAt[0], dialedAt[1])
}

// A response that waits in the kernel is visible to the probe while nobody reads, and gone from it once read.
func TestConnectionProbeSeesWhatWasNotRead(t *testing.T) {
	const rest = "rest"
	head := strings.TrimSuffix(encodeResponse("r", rest, ""), rest)
	goOn, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err != nil {
			return
		}
		io.WriteString(connection, head)
		<-goOn
		io.WriteString(connection, rest)
		<-done
	})
	probe := &ConnectionProbe{}
	require.False(t, probe.HasUnread())
	request := &Request{ID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("r"), Probe: probe}
	response, err := newPool().Send(context.Background(), address, 0, request, readMetadata)
	require.NoError(t, err)
	require.False(t, probe.HasUnread())
	close(goOn)
	require.Eventually(t, probe.HasUnread, time.Minute, time.Millisecond)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, rest, string(body))
	require.False(t, probe.HasUnread())
	response.Close()
}

// What was read and is not handled yet is visible to the probe; a reader that waits for more is not.
func TestConnectionProbeSeesWhatWasNotHandled(t *testing.T) {
	head := strings.TrimSuffix(encodeResponse("r", "rest", ""), "rest")
	goOn := make(chan struct{})
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err != nil {
			return
		}
		io.WriteString(connection, head)
		<-goOn
		io.WriteString(connection, "rest")
	})
	probe := &ConnectionProbe{}
	require.False(t, probe.IsHandling())
	request := &Request{ID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("r"), Probe: probe}
	response, err := newPool().Send(context.Background(), address, 0, request, readMetadata)
	require.NoError(t, err)
	require.True(t, probe.IsHandling())
	body := make(chan []byte, 1)
	go func() {
		read, _ := io.ReadAll(response.Body)
		body <- read
	}()
	require.Eventually(t, func() bool { return !probe.IsHandling() }, time.Minute, time.Millisecond)
	close(goOn)
	require.Equal(t, "rest", string(<-body))
	require.True(t, probe.IsHandling())
	response.Close()
}
