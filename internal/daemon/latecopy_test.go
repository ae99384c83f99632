package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/tool"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

// answerTwice answers each call with its own body, and sends a second copy in the place of the next answer.
func answerTwice(connection net.Conn, reader *bufio.Reader) {
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(connection, late+answer); err != nil {
			return
		}
		late = answer
	}
}

// Guards against a second copy of a tool's answer, late, that is taken for the answer to the next call.
func TestLateSecondCopyOfAToolsAnswerIsNotTakenForTheNextCalls(t *testing.T) {
	address := transporttest.ServeConnections(t, answerTwice)
	client := tool.NewClient(newCallClient(newGate(), nil))
	declared := structs.Tool{Name: "release", Address: "http://" + address}
	for number := range 3 {
		arguments := fmt.Appendf(nil, "call %d", number)
		result, err := client.Call(t.Context(), declared, fmt.Sprint("key-", number), arguments)
		require.NoError(t, err)
		require.Equal(t, string(arguments), string(result.Body))
	}
}
