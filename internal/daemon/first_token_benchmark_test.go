package daemon_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var errFirstToken = errors.New("first token seen")

// BenchmarkFirstToken measures the time to the first token of the same prompt,
// from the stand-in engine directly and through a daemon that records the
// call's start on a majority first. Both are taken in turn, in the same run.
// The metric "added-ms" is the difference of the medians.
func BenchmarkFirstToken(b *testing.B) {
	running := startDeployment(b)
	opened := running.open(b, 0, "benchmark")
	_, err := running.call(b, 0, opened.ID, 1)
	require.NoError(b, err)
	engines := engine.NewClient(http.DefaultClient)
	address := running.outside.Engines[0].Address()
	var direct, through []time.Duration
	b.ResetTimer()
	for iteration := range b.N {
		direct = append(direct, firstTokenDirect(b, engines, address, iteration))
		through = append(through, firstTokenThrough(b, running, iteration))
	}
	b.StopTimer()
	slices.Sort(direct)
	slices.Sort(through)
	b.ReportMetric(milliseconds(median(direct)), "direct-ms")
	b.ReportMetric(milliseconds(median(through)), "through-ms")
	b.ReportMetric(milliseconds(median(through)-median(direct)), "added-ms")
}

func median(sorted []time.Duration) time.Duration { return sorted[len(sorted)/2] }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func firstTokenDirect(b *testing.B, engines *engine.Client, address string, iteration int) time.Duration {
	id := structs.ProgramID(fmt.Sprintf("00000000-%032x", iteration))
	began := time.Now()
	stream, err := engines.Generate(b.Context(), address, engine.GenerateRequest{
		Holder: id, StreamID: string(id), Model: testModel, MaxTokens: 16,
		Segments: [][]byte{modelCall(1, fmt.Sprint("direct", iteration)).Input},
	})
	require.NoError(b, err)
	_, err = stream.Next()
	require.NoError(b, err)
	took := time.Since(began)
	require.NoError(b, stream.Close())
	require.NoError(b, engines.Cancel(b.Context(), address, string(id)))
	require.NoError(b, engines.Release(b.Context(), address, 0, id))
	return took
}

// firstTokenThrough uses a program of its own each time, so that the prompt is
// as long as the direct one, and asks each daemon in turn.
func firstTokenThrough(b *testing.B, running *deployment, iteration int) time.Duration {
	member := iteration % len(running.cluster.Members)
	opened := running.open(b, member, fmt.Sprint("benchmark-", iteration))
	took := time.Duration(0)
	began := time.Now()
	err := running.client(member).Call(b.Context(), opened.ID, modelCall(1, fmt.Sprint("thru", iteration)), true,
		caller.AnswerSinkFunc(func(caller.AnswerPart) error {
			took = time.Since(began)
			return errFirstToken
		}))
	require.ErrorIs(b, err, errFirstToken)
	_, err = running.client(member).End(b.Context(), opened.ID)
	require.NoError(b, err)
	return took
}
