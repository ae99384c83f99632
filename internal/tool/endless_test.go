package tool_test

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/tool"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

const octetStream = "application/octet-stream"

// callTool calls a tool at an address and returns the error, which must say that the outcome is not known.
func callTool(ctx context.Context, t *testing.T, client *tool.Client, address string) error {
	_, err := client.Call(ctx, structs.Tool{Name: toolName, Address: address}, "key", []byte("door 7"))
	var unknown *failure.ToolOutcomeUnknown
	if !errors.As(err, &unknown) {
		t.Errorf("the call ended with %v", err)
	}
	return err
}

// Guards against answers of tools without end that fill a daemon's memory, several at once.
func TestAnswersOfToolsWithoutEndAreNotTakenIn(t *testing.T) {
	const calls = 4
	address := transporttest.ServeEndlessly(t, "HTTP/1.1 200 OK\r\nContent-Type: "+octetStream+"\r\n\r\n", "x")
	var reads transporttest.CountedReads
	client := tool.NewClient(reads.NewClient())
	var calling sync.WaitGroup
	for range calls {
		calling.Go(func() { _ = callTool(t.Context(), t, client, address) })
	}
	calling.Wait()
	require.Less(t, reads.Max(), transporttest.MaxRead(transport.MaxResponseBytes))
}

// Guards against answers within their bound that fill a daemon's memory, as many calls hold theirs at once.
func TestCallsOfToolsShareABoundOfWhatTheyHold(t *testing.T) {
	const calls, answerBytes, sharedBytes = 8, 12 << 20, 32 << 20
	address := transporttest.ServePausing(t, octetStream, answerBytes)
	client := tool.NewClient(new(transporttest.CountedReads).NewClient())
	transporttest.RequireMaxHeld(t, calls, sharedBytes/answerBytes, func(ctx context.Context) error {
		return callTool(ctx, t, client, address)
	})
}
