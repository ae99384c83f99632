package worker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

// lateCopies answers each request with what answers holds for its number, and sends a second copy of each answer
// late: once the next request has arrived on the connection, in the place of its answer.
func lateCopies(t testing.TB, opened *atomic.Int32, answers func(number int32, id string) string) string {
	var requests atomic.Int32
	return transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		late := ""
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			answer := answers(requests.Add(1), id)
			io.WriteString(connection, late+answer)
			late = answer
		}
	})
}

func rejection(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), echoedHeader, id)
}

// receive sends a request and reads its answer.
func receive(t testing.TB, pool *Pool, address, id string) (notRun bool, body string) {
	response, err := send(pool, address, id, id)
	require.NoError(t, err)
	defer response.Close()
	read, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.NotRun, string(read)
}

// Guards against a second copy of an answer, late, that is taken for the answer to the next send of the same request.
func TestLateSecondCopyIsNotTakenForTheAnswerToANextSend(t *testing.T) {
	first := map[string]func(id string) string{
		"rejection": func(id string) string { return rejection(http.StatusServiceUnavailable, id) },
		"redirect":  func(id string) string { return rejection(http.StatusMisdirectedRequest, id) },
		"success":   func(id string) string { return encodeResponse(id, "first", "") },
	}
	for kind, answer := range first {
		t.Run(kind, func(t *testing.T) {
			var opened atomic.Int32
			address := lateCopies(t, &opened, func(number int32, id string) string {
				if number == 1 {
					return answer(id)
				}
				return encodeResponse(id, "second", "")
			})
			pool := newPool()
			receive(t, pool, address, "r")
			notRun, body := receive(t, pool, address, "r")
			require.False(t, notRun, "the second send has run")
			require.Equal(t, "second", body)
		})
	}
}

// Guards against a mend that closes each connection on which a rejection came: other requests go on using it.
func TestConnectionOfARejectionCarriesOtherRequests(t *testing.T) {
	var opened atomic.Int32
	address := lateCopies(t, &opened, func(number int32, id string) string {
		if number == 1 {
			return rejection(http.StatusServiceUnavailable, id)
		}
		return encodeResponse(id, "answer to "+id, "")
	})
	pool := newPool()
	notRun, _ := receive(t, pool, address, "r")
	require.True(t, notRun)
	for number := range 5 {
		id := fmt.Sprintf("other-%d", number)
		_, body := receive(t, pool, address, id)
		require.Equal(t, "answer to "+id, body)
	}
	require.EqualValues(t, 1, opened.Load())
}

// Guards against a worker that is refused for its connections because each has carried the request before.
func TestConnectionThatCarriedTheIDGivesWayAtTheLimit(t *testing.T) {
	var opened atomic.Int32
	address := lateCopies(t, &opened, func(number int32, id string) string {
		return rejection(http.StatusServiceUnavailable, id)
	})
	pool := newPool()
	for range 3 {
		request := &Request{ID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("r")}
		response, err := pool.Send(t.Context(), address, 1, request, readMetadata)
		require.NoError(t, err)
		require.True(t, response.NotRun)
		response.Close()
	}
	require.EqualValues(t, 3, opened.Load())
}

// Guards against an unbounded memory of IDs on a connection that is never idle for long.
func TestConnectionIsReplacedAfterItsLastSend(t *testing.T) {
	var opened atomic.Int32
	address := lateCopies(t, &opened, func(_ int32, id string) string { return encodeResponse(id, "", "") })
	pool := newPool()
	for number := range maxSendsPerConnection + 1 {
		receive(t, pool, address, fmt.Sprint(number))
	}
	require.EqualValues(t, 2, opened.Load())
}

// Guards against a rejection that names no request and is taken for the answer to whichever request waits.
func TestRejectionWithoutAnIDIsNotBelieved(t *testing.T) {
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		late := ""
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, late+encodeResponse(id, "ran "+id, ""))
			late = "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		}
	})
	pool := newPool()
	for _, id := range []string{"first", "second"} {
		notRun, body := receive(t, pool, address, id)
		require.False(t, notRun, "%s has run", id)
		require.Equal(t, "ran "+id, body)
	}
}

// Guards against a late answer to a HEAD request whose declared body never follows, and that swallows the next answer.
func TestLateAnswerToAHeadRequestSwallowsNoOther(t *testing.T) {
	testLateAnswerBeside(t, http.MethodHead, http.MethodGet)
}

// Guards against the body of a late answer that is read as the next answer, as the request on its way is a HEAD.
func TestBodyOfALateAnswerIsNotReadAsAnAnswer(t *testing.T) {
	testLateAnswerBeside(t, http.MethodGet, http.MethodHead)
}

// testLateAnswerBeside sends a request of each method on one connection. The answer to the first comes a second time
// before that to the second, and its body looks like an answer to the second.
func testLateAnswerBeside(t *testing.T, firstMethod, secondMethod string) {
	forged := encodeResponse("second", "", "Forged: 1\r\n")
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		late := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(echoedHeader)
			answer := encodeResponse(id, forged, "")
			if request.Method == http.MethodHead {
				answer = answer[:len(answer)-len(forged)]
			}
			io.WriteString(connection, late+answer)
			late = answer
		}
	})
	pool := newPool()
	response, err := sendMethod(t, pool, address, firstMethod, "first")
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	response.Close()
	response, err = sendMethod(t, pool, address, secondMethod, "second")
	if err != nil {
		var lost *ResponseLost
		require.ErrorAs(t, err, &lost)
		var mismatched *MismatchedResponse
		require.ErrorAs(t, err, &mismatched)
		return
	}
	require.Empty(t, response.Header.Get("Forged"))
	response.Close()
}

func sendMethod(t *testing.T, pool *Pool, address, method, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	request := &Request{ID: id, Method: method, Target: "/", Host: "h", Header: http.Header{echoedHeader: {id}}}
	return pool.Send(ctx, address, 0, request, readMetadata)
}
