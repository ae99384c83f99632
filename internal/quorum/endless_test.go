package quorum

import (
	"context"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

const protobufType = "application/proto"

// Guards against bytes without end from the address of a replica or a forwarder that fill a process's memory.
func TestAnswersOfReplicasWithoutEndAreNotTakenIn(t *testing.T) {
	calls := map[string]func(client *Client, address string){
		"replica": func(client *Client, address string) {
			_, err := client.ReplicaClient(address).Directory(t.Context(), connect.NewRequest(&replicav1.DirectoryRequest{}))
			require.Error(t, err)
		},
		"forwarder": func(client *Client, address string) {
			client.forwarders.set([]string{address})
			require.Nil(t, client.forwarders.call(t.Context(), &replicav1.ForwardRequest{}))
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			baseURL := transporttest.ServeEndlessly(t, "HTTP/1.1 200 OK\r\nContent-Type: "+protobufType+"\r\n\r\n", "\x00")
			_, group := startMembers(t, 1)
			var reads transporttest.CountedReads
			call(NewClient(group, "", reads.NewClient()), strings.TrimPrefix(baseURL, "http://"))
			require.Less(t, reads.Max(), transporttest.MaxRead(transport.MaxResponseBytes))
		})
	}
}

// Guards against answers within their bound that fill a process's memory, as many calls hold theirs at once.
func TestCallsOfReplicasShareABoundOfWhatTheyHold(t *testing.T) {
	const calls, answerBytes, allowed = 6, 6 << 20, 14 << 20
	address := strings.TrimPrefix(transporttest.ServePausing(t, protobufType, answerBytes), "http://")
	_, group := startMembers(t, 1)
	client := NewClient(group, "", new(transporttest.CountedReads).NewClient())
	client.LimitHeld(allowed)
	transporttest.RequireMaxHeld(t, calls, allowed/answerBytes, func(ctx context.Context) error {
		_, err := client.ReplicaClient(address).Directory(ctx, connect.NewRequest(&replicav1.DirectoryRequest{}))
		return err
	})
}
