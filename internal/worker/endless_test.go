package worker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

const (
	// endlessBytes is what a test's worker sends at most of bytes without end; the kernel's buffers take less.
	endlessBytes = 48 << 20
	// takenBytes is what a process may read of them: the bounds of a head and of the test's body, of which each byte takes
	// six in the shortest chunks, and read buffers.
	takenBytes = 2 << 20
	// atOnce is how long the end of such a response may take: far less than a request has.
	atOnce = 2 * time.Second
)

// serveEndlessly answers with a beginning and then repeats a part until the caller closes. It returns how much was
// sent.
func serveEndlessly(t testing.TB, beginning, part string) (address string, sent <-chan int) {
	result := make(chan int, 1)
	block := strings.Repeat(part, max(1, 64<<10/len(part)))
	address = transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err != nil {
			return
		}
		count, err := io.WriteString(connection, beginning)
		for total := count; ; total += count {
			if err != nil || total >= endlessBytes {
				result <- total
				return
			}
			count, err = io.WriteString(connection, block)
		}
	})
	return address, result
}

// receiveCounted sends a request with a bound of its body and reads the response. received is what was read on the
// connection.
func receiveCounted(ctx context.Context, pool *Pool, address string, maxBody int64) (received int64, err error) {
	request := &Request{
		ID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("r"), MaxBodyBytes: maxBody, Probe: &ConnectionProbe{},
	}
	response, err := pool.Send(ctx, address, 0, request, readMetadata)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Close()
	}
	received, _ = request.Probe.ReceivedBytes()
	return received, err
}

// receiveBounded is receiveCounted without the count.
func receiveBounded(ctx context.Context, pool *Pool, address string, maxBody int64) error {
	_, err := receiveCounted(ctx, pool, address, maxBody)
	return err
}

const okHead = "HTTP/1.1 200 OK\r\n" + echoedHeader + ": r\r\n"

// Guards against bytes without end that fill a process's memory, or hold its request until the route's time.
func TestBytesWithoutEndCostTheirRequestAlone(t *testing.T) {
	chunked := okHead + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		beginning, part string
		want            error
	}{
		"no line":         {"", "x", &MalformedResponse{}},
		"status line":     {"HTTP/1.1 200 ", "O", &ResponseTooLarge{Part: PartHead}},
		"header line":     {okHead + "A: ", "a", &ResponseTooLarge{Part: PartHead}},
		"header lines":    {okHead, "A: b\r\n", &ResponseTooLarge{Part: PartHeadLines}},
		"empty names":     {okHead, ":\r\n", &ResponseTooLarge{Part: PartHeadLines}},
		"continued lines": {okHead + "A: b\r\n", " c\r\n", &ResponseTooLarge{Part: PartHeadLines}},
		"interim heads":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n", &ResponseTooLarge{Part: PartInterimHeads}},
		"body":            {okHead + "\r\n", "x", &ResponseTooLarge{Part: PartBody}},
		"chunks":          {chunked, "1\r\nx\r\n", &ResponseTooLarge{Part: PartBody}},
		"chunk extension": {chunked + "1;", "x", nil},
		"chunk size":      {chunked, "0", nil},
		"trailer":         {chunked + "0\r\nA: ", "x", nil},
		"trailer lines":   {chunked + "0\r\n", "A: b\r\n", nil},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := serveEndlessly(t, each.beginning, each.part)
			ctx, cancel := context.WithTimeout(t.Context(), 5*atOnce)
			defer cancel()
			began := time.Now()
			received, err := receiveCounted(ctx, newPool(), address, 256<<10)
			require.Error(t, err)
			require.Less(t, time.Since(began), atOnce)
			require.LessOrEqual(t, received, int64(takenBytes))
			require.Less(t, <-sent, endlessBytes, "the connection is closed in their midst")
			switch want := each.want.(type) {
			case *MalformedResponse:
				require.ErrorAs(t, err, &want)
			case *ResponseTooLarge:
				var tooLarge *ResponseTooLarge
				require.ErrorAs(t, err, &tooLarge)
				require.Equal(t, want.Part, tooLarge.Part)
			}
		})
	}
}

// respondWith answers each request with a text and returns the address.
func respondWith(t testing.TB, text string) string {
	return transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			if _, err := readRequest(reader); err != nil {
				return
			}
			io.WriteString(connection, text)
		}
	})
}

// headOf returns a head without a body of a number of bytes and lines.
func headOf(bytes, lines int) string {
	head := okHead + "Content-Length: 0\r\n"
	for range lines - strings.Count(head, "\n") - 1 {
		head += "A: b\r\n"
	}
	head += "Filling: "
	const end = "\r\n\r\n"
	return head + strings.Repeat("x", bytes-len(head)-len(end)) + end
}

// Guards against bounds that a response within them exceeds, and against ones that a larger response passes.
func TestResponsesPassUpToTheBoundAndNotBeyond(t *testing.T) {
	const maxBody = 100_000
	body := func(bytes int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, bytes, strings.Repeat("x", bytes))
	}
	chunks := func(bytes int) string {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", okHead, bytes, strings.Repeat("x", bytes))
	}
	interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterimResponses)
	cases := map[ResponsePart][]struct{ at, beyond string }{
		PartHead:         {{headOf(maxHeadBytes, 8), headOf(maxHeadBytes+1, 8)}},
		PartHeadLines:    {{headOf(8<<10, maxHeadLines), headOf(8<<10, maxHeadLines+1)}},
		PartInterimHeads: {{interim + body(1), "HTTP/1.1 103 Early Hints\r\n\r\n" + interim + body(1)}},
		PartBody:         {{body(maxBody), body(maxBody + 1)}, {chunks(maxBody), chunks(maxBody + 1)}},
	}
	for part, each := range cases {
		for _, one := range each {
			require.NoError(t, receiveBounded(t.Context(), newPool(), respondWith(t, one.at), maxBody), part)
			var tooLarge *ResponseTooLarge
			require.ErrorAs(t, receiveBounded(t.Context(), newPool(), respondWith(t, one.beyond), maxBody), &tooLarge, part)
			require.Equal(t, part, tooLarge.Part)
		}
	}
}

// Guards against a bound of each head that many large heads at once exceed together.
func TestLargeHeadsShareABound(t *testing.T) {
	const allowed = 2
	large := headOf(maxHeadBytes/2, 8)
	address := respondWith(t, large)
	pool := newPool()
	pool.LimitLargeHeads(allowed * maxHeadBytes)
	var open []*Response
	for range allowed {
		response, err := send(pool, address, "r", "r")
		require.NoError(t, err)
		open = append(open, response)
	}
	_, err := send(pool, address, "r", "r")
	var lost *ResponseLost
	require.ErrorAs(t, err, &lost)
	var exhausted *flowcontrol.BudgetExhausted
	require.ErrorAs(t, err, &exhausted)
	for _, response := range open {
		_, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Close()
	}
	require.Zero(t, pool.largeHeads.Used())
	for range allowed + 1 {
		id := newID()
		response, err := send(pool, respondWith(t, strings.Replace(large, ": r\r\n", ": "+id+"\r\n", 1)), id, id)
		require.NoError(t, err)
		response.Close()
	}
	require.Zero(t, pool.largeHeads.Used(), "a connection that is closed gives its memory back")
}

// Guards against an upgrade that nobody asked for and that is handed on as an answer.
func TestUpgradeThatNobodyAskedForIsNoAnswer(t *testing.T) {
	_, err := send(newPool(), respondWith(t, "HTTP/1.1 101 Switching Protocols\r\n"+echoedHeader+": r\r\n\r\n"), "r", "r")
	var malformed *MalformedResponse
	require.ErrorAs(t, err, &malformed)
}
