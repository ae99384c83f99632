package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

var fileKind = routeAndService{route: "file", service: "files"}

// ampleBudget is more memory than the receive buffers in these tests use.
const ampleBudget = 64 << 20

// fullBuffer is the memory of one buffer for the longest response.
const fullBuffer = transport.KernelBytesPerBufferByte * maxReceiveBufferBytes

// respond plays a complete successful response of a length that the worker does not declare.
func respond(t *testing.T, buffers *receiveBuffers, length int) {
	t.Helper()
	reservation := buffers.reserve(fileKind)
	response := &worker.Response{Status: http.StatusOK, Length: -1, Body: strings.NewReader(strings.Repeat("a", length))}
	reservation.responseStarted(response)
	_, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Nil(t, reservation.counted, "a response that has been read needs no buffer")
}

// sampleLengths plays as many responses of a length as tell what to expect.
func sampleLengths(t *testing.T, buffers *receiveBuffers, length int) {
	t.Helper()
	for range minLengthSamples {
		respond(t, buffers, length)
	}
}

func TestReceiveBufferOfAnUnknownKindHoldsTheLongestResponse(t *testing.T) {
	buffers := newReceiveBuffers(maxReceiveBufferBytes, ampleBudget, time.Now)
	require.GreaterOrEqual(t, buffers.reserve(fileKind).bytes, maxReadAheadBytes+responseHeadBytes)
	for range minLengthSamples - 1 {
		respond(t, buffers, 100)
	}
	require.GreaterOrEqual(t, buffers.reserve(fileKind).bytes, maxReadAheadBytes+responseHeadBytes)
}

func TestReceiveBufferOfAKindWithShortResponsesDoesNotCount(t *testing.T) {
	buffers := newReceiveBuffers(maxReceiveBufferBytes, ampleBudget, time.Now)
	sampleLengths(t, buffers, 800)
	require.Equal(t, workerReceiveBufferBytes, buffers.reserve(fileKind).bytes)
	require.Zero(t, buffers.budget.Used())
}

func TestReceiveBufferHoldsTheLongestRecentResponse(t *testing.T) {
	now := time.Now()
	buffers := newReceiveBuffers(maxReceiveBufferBytes, ampleBudget, func() time.Time { return now })
	sampleLengths(t, buffers, 800)
	respond(t, buffers, 300<<10)
	reservation := buffers.reserve(fileKind)
	require.GreaterOrEqual(t, reservation.bytes, 300<<10+responseHeadBytes)
	require.Less(t, reservation.bytes, maxReceiveBufferBytes)
	reservation.release()
	reservation.release()
	require.Zero(t, buffers.budget.Used())
}

// An answer longer than those before it is covered from its head on.
func TestReceiveBufferGrowsWithADeclaredLength(t *testing.T) {
	buffers := newReceiveBuffers(maxReceiveBufferBytes, ampleBudget, time.Now)
	sampleLengths(t, buffers, 800)
	reservation := buffers.reserve(fileKind)
	require.True(t, reservation.grow(buffers.bytesFor(maxReadAheadBytes)))
	require.GreaterOrEqual(t, reservation.bytes, maxReadAheadBytes+responseHeadBytes)
	require.EqualValues(t, fullBuffer, buffers.budget.Used())
	reservation.release()
	require.Zero(t, buffers.budget.Used())
}

func TestReceiveBufferOfAShorterResponseReturnsTheRest(t *testing.T) {
	buffers := newReceiveBuffers(maxReceiveBufferBytes, ampleBudget, time.Now)
	for length, used := range map[int64]int{800: 0, 300 << 10: transport.KernelBytesPerBufferByte * (320 << 10)} {
		reservation := buffers.reserve(fileKind)
		reservation.responseStarted(&worker.Response{Status: http.StatusOK, Length: length, Body: http.NoBody})
		require.EqualValues(t, used, buffers.budget.Used())
		reservation.release()
		require.Zero(t, buffers.budget.Used())
	}
}

// Guards against a torn answer that is logged as one with room: what came before its head had none.
func TestReceiveBufferThatIsGrantedLateWasRefused(t *testing.T) {
	buffers := newReceiveBuffers(maxReceiveBufferBytes, fullBuffer, time.Now)
	first, second := buffers.reserve(fileKind), buffers.reserve(fileKind)
	require.NotContains(t, first.logValues(), true)
	require.Contains(t, second.logValues(), true)
	first.release()
	require.True(t, second.grow(buffers.bytesFor(maxReadAheadBytes)))
	require.Contains(t, second.logValues(), true)
}

// A rejection or failure is short and tells nothing about the responses of its route.
func TestReceiveBufferIsNotSizedByFailures(t *testing.T) {
	buffers := newReceiveBuffers(maxReceiveBufferBytes, ampleBudget, time.Now)
	for range 2 * minLengthSamples {
		reservation := buffers.reserve(fileKind)
		response := &worker.Response{Status: http.StatusInternalServerError, Length: 6, Body: strings.NewReader("failed")}
		reservation.responseStarted(response)
		_, err := io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}
	require.Equal(t, maxReceiveBufferBytes, buffers.reserve(fileKind).bytes)
}

func TestReceiveBufferFollowsWhatTheSystemGrants(t *testing.T) {
	const granted = 208 << 10
	require.Equal(t, granted, newReceiveBuffers(granted, ampleBudget, time.Now).reserve(fileKind).bytes)
	const less = 32 << 10
	reservation := newReceiveBuffers(less, ampleBudget, time.Now).reserve(fileKind)
	require.Equal(t, workerReceiveBufferBytes, reservation.bytes)
	require.Nil(t, reservation.counted)
	require.Contains(t, reservation.logValues(), less, "the log must say what the system grants")
}

// TestReceiveBuffersStayWithinTheirBudget plays random responses and holds the bound, and that nothing of
// it is lost.
func TestReceiveBuffersStayWithinTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, maxReceiveBufferBytes).Draw(t, "granted")
		budget := rapid.Int64Range(0, 8*fullBuffer).Draw(t, "budget")
		buffers := newReceiveBuffers(limit, budget, time.Now)
		var open []*receiveReservation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "ends") {
				index := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[index].release()
				open = append(open[:index], open[index+1:]...)
			} else {
				reservation := buffers.reserve(fileKind)
				length := rapid.Int64Range(-1, 3*maxReadAheadBytes).Draw(t, "length")
				if length >= 0 {
					if !reservation.grow(buffers.bytesFor(length)) {
						reservation.shrink(buffers.bytesFor(length))
					}
				}
				require.True(t, reservation.counted != nil || reservation.isRefused || reservation.bytes == workerReceiveBufferBytes || length >= 0)
				open = append(open, reservation)
			}
			var counted int64
			for _, each := range open {
				if each.counted != nil {
					counted += each.counted.Bytes()
					require.EqualValues(t, transport.KernelBytesPerBufferByte*each.bytes, each.counted.Bytes())
				}
			}
			require.Equal(t, counted, buffers.budget.Used())
			require.LessOrEqual(t, counted, budget)
		}
		for _, each := range open {
			each.release()
		}
		require.Zero(t, buffers.budget.Used())
	})
}
